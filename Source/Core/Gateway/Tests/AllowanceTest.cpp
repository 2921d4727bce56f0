/// @file
/// What requests take from their account's allowance when they wait, are relayed, or are refused after a try.

#include "Gateway/Allowance.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Gateway;

const Common::instant now(std::chrono::hours(1));

gateway_state makeState(const std::set<Common::node_id>& peers = {})
{
    auto catalog = std::make_shared<Catalog::catalog>();
    catalog->version = 1;
    Catalog::account account;
    account.id = { "clerks" };
    account.keys = { "k1" };
    account.allowed = { 100, 1000, true, 400 };
    catalog->accounts.push_back(account);
    Catalog::indexCatalog(*catalog);
    Fleet::node_facts facts;
    facts.node = { "a" };
    facts.isFirstStart = true;
    gateway_state state = makeGatewayState(facts, 1);
    applyMessage(state, catalog_update { catalog }, now);
    applyMessage(state, peers_update { peers }, now);
    return state;
}

proxied_call makeCall(const gateway_state& state)
{
    proxied_call call;
    call.catalog = state.catalog;
    call.account = { "clerks" };
    call.facts.key = "k1";
    call.arrived = now;
    return call;
}

/// @return how many more requests are granted.
int countGranted(gateway_state& state)
{
    int granted = 0;
    while (granted < 10 && Quota::tryConsume(state.quota, { "clerks" }, 400, now).isGranted)
        ++granted;
    return granted;
}

} // namespace

TEST_GROUP(Allowance) {};

TEST(Allowance, ARelayThatIsNotSentDoesNotLetItsRequestRunUncharged)
{
    struct row {
        const char* condition;
        uint32_t endpointsRun; ///< As the end of the relay is counted.
        int othersGranted; ///< Of a burst of 1000 and requests of 400.
    };
    const row rows[] = {
        { "not sent", 0, 1 },
        { "run by the other node", 2, 2 },
    };
    for (const row& item : rows) {
        gateway_state state = makeState();
        proxied_call call = makeCall(state);
        CHECK_FALSE(chargeAllowance(state, call).has_value());
        leaveChargeToRelay(state, call);
        call.progress.endpointsRun = item.endpointsRun;
        CHECK_FALSE(chargeAfterRelay(state, call, now).has_value());
        const int granted = countGranted(state);
        CHECK_EQUAL_TEXT(item.othersGranted, granted, item.condition);
    }
}

TEST(Allowance, ARequestThatCannotBeChargedAfterItsRelayIsRejected)
{
    gateway_state state = makeState();
    proxied_call call = makeCall(state);
    CHECK_FALSE(chargeAllowance(state, call).has_value());
    leaveChargeToRelay(state, call);
    const int granted = countGranted(state);
    CHECK_EQUAL(2, granted);
    const std::optional<request_rejection> rejection = chargeAfterRelay(state, call, now);
    CHECK(rejection.has_value());
    CHECK_EQUAL(429, rejection->status);
}

TEST(Allowance, ARequestThatMayHaveRunIsNotRefunded)
{
    for (const uint32_t endpointsRun : { 0U, 1U }) {
        gateway_state state = makeState();
        proxied_call call = makeCall(state);
        CHECK_FALSE(chargeAllowance(state, call).has_value());
        call.progress.endpointsRun = endpointsRun;
        refundAllowance(state, call);
        const int granted = countGranted(state);
        CHECK_EQUAL(endpointsRun > 0 ? 1 : 2, granted);
    }
}

TEST(Allowance, ARequestWaitsForTheOwnerAndIsRejectedWithoutItsAnswer)
{
    std::set<Common::node_id> peers;
    for (int peer = 0; peer < 20; ++peer)
        peers.insert({ "b" + std::to_string(peer) });
    gateway_state state = makeState(peers);
    CHECK(Quota::describeLimited(state.quota, now).empty());
    // The owner is another node and nothing may be granted before it answers.
    proxied_call call = makeCall(state);
    state.quota.accounts.begin()->second.allowed.burst = 0;
    state.quota.accounts.begin()->second.allowed.perSecond = 1;
    CHECK_FALSE(chargeAllowance(state, call).has_value());
    CHECK(call.isAwaitingLease);
    CHECK_EQUAL(1, state.quota.outgoing.size());
    CHECK_FALSE(chargeWaiting(state, call, false, now + milliseconds(100)).has_value());
    CHECK(call.isAwaitingLease);
    const std::optional<request_rejection> rejection = chargeWaiting(state, call, true, now + milliseconds(400));
    CHECK(rejection.has_value());
    CHECK_EQUAL(429, rejection->status);
    CHECK_EQUAL(0, call.allowanceTaken);
}
