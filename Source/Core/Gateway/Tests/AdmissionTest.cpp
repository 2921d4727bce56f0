/// @file
/// Which requests are admitted, and the responses to rejected ones.

#include "Gateway/Admission.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Gateway;

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

Catalog::route makeRoute(const char* prefix, bool isPublic)
{
    Catalog::route route;
    route.name = { prefix };
    route.host = "h.example";
    route.prefix = prefix;
    route.shares = { { { "s" }, 1 } };
    route.timeout = milliseconds(2000);
    route.isPublic = isPublic;
    return route;
}

gateway_state makeState()
{
    auto catalog = std::make_shared<Catalog::catalog>();
    catalog->version = 1;
    catalog->routes = { makeRoute("/own/", false), makeRoute("/open/", true) };
    Catalog::account account;
    account.id = { "clerks" };
    account.keys = { "k1" };
    account.allowed = { 100, 1000, true, 400 };
    catalog->accounts.push_back(account);
    Catalog::indexCatalog(*catalog);
    Fleet::node_facts facts;
    facts.isFirstStart = true;
    facts.bounds.grace = milliseconds(8000);
    gateway_state state = makeGatewayState(facts, 1);
    applyMessage(state, catalog_update { catalog }, at(0));
    applyMessage(state, peers_update {}, at(0));
    return state;
}

proxied_call makeCall(const char* target, const char* key, int ms = 0)
{
    proxied_call call;
    call.arrived = at(ms);
    call.request.target = target;
    call.request.headers = { { "Host", "h.example" } };
    call.facts.key = key;
    return call;
}

Scheduling::model_request makeModel(uint32_t promptTokens, uint32_t outputTokens)
{
    Scheduling::model_request model;
    model.promptTokens = promptTokens;
    model.maxOutputTokens = outputTokens;
    return model;
}

} // namespace

TEST_GROUP(Admission) {};

TEST(Admission, RequestsWithoutCatalogRouteOrKeyAreRejected)
{
    struct row {
        const char* target;
        const char* key;
        int status; ///< Zero: admitted.
    };
    const row rows[] = {
        { "/own/x?q=/open/", "k1", 0 },
        { "/own/x", "k2", 401 },
        { "/own/x", "", 401 },
        { "/open/x", "", 0 },
        { "/other/x", "k1", 404 },
        { "/ow", "k1", 404 },
    };
    for (const row& item : rows) {
        gateway_state state = makeState();
        proxied_call call = makeCall(item.target, item.key);
        const auto refusal = admit(state, call);
        CHECK_EQUAL_TEXT(item.status, refusal ? refusal->status : 0, item.target);
        state.catalog = nullptr;
        const auto refusalWithoutCatalog = admit(state, call);
        CHECK_EQUAL(503, refusalWithoutCatalog->status);
        CHECK(refusalWithoutCatalog->retryAfter.has_value());
    }
}

TEST(Admission, TheDeadlineIsTheEarlierOfCallerBudgetAndRouteTimeout)
{
    struct row {
        std::optional<milliseconds> stated;
        int deadlineMs;
    };
    const row rows[] = { { milliseconds(500), 510 }, { milliseconds(9000), 2010 }, { {}, 2010 } };
    for (const row& item : rows) {
        gateway_state state = makeState();
        proxied_call call = makeCall("/own/x", "k1", 10);
        call.facts.timeBudget = item.stated;
        CHECK(!admit(state, call));
        CHECK(call.deadline == at(item.deadlineMs));
    }
}

TEST(Admission, RequestsBeyondTheTokenAllowanceAreRejected)
{
    // The burst is 1000 tokens. Requests without token counts are charged 400 each, so the third exceeds it.
    gateway_state state = makeState();
    proxied_call first = makeCall("/own/x", "k1");
    proxied_call second = makeCall("/own/x", "k1");
    proxied_call third = makeCall("/own/x", "k1");
    CHECK(!admit(state, first));
    CHECK(!admit(state, second));
    const auto refusal = admit(state, third);
    CHECK_EQUAL(429, refusal->status);
    CHECK(refusal->retryAfter > milliseconds(0));
    gateway_state otherState = makeState();
    proxied_call counted = makeCall("/own/x", "k1");
    counted.facts.model = makeModel(50, 20);
    CHECK(!admit(otherState, counted));
    DOUBLES_EQUAL(70, counted.allowanceTaken, 0.1);
}

TEST(Admission, ALeavingNodeGoesByTheTimesItHasObserved)
{
    struct row {
        const char* name;
        std::optional<Scheduling::model_request> model;
        double firstEventMs; ///< Observed.
        double totalMs;
        int observations;
        int arrivedMs; ///< Time since the node began to leave.
        int status;
    };
    const row rows[] = {
        { "plain, quick", {}, 20, 20, 200, 5000, 0 },
        { "plain, slow", {}, 1500, 1500, 20, 5000, 503 },
        { "plain, slow, early", {}, 1500, 1500, 20, 1000, 0 },
        { "stream, first event late", makeModel(100, 20), 2500, 2900, 20, 3000, 503 },
        { "long stream, quick tokens", makeModel(100, 500), 100, 2100, 300, 0, 0 },
        { "long stream, slow tokens", makeModel(100, 500), 100, 8000, 20, 0, 503 },
        { "short stream, slow", makeModel(100, 2), 100, 2900, 20, 3000, 503 },
    };
    for (const row& item : rows) {
        gateway_state state = makeState();
        for (int observed = 0; observed < item.observations; ++observed)
            recordFinish(state.finishTimes, { "/open/" }, item.model, item.firstEventMs, item.totalMs);
        applyMessage(state, leave_started {}, at(0));
        proxied_call call = makeCall("/open/x", "", item.arrivedMs);
        call.facts.model = item.model;
        const auto refusal = admit(state, call);
        CHECK_EQUAL_TEXT(item.status, refusal ? refusal->status : 0, item.name);
    }
}

TEST(Admission, ALeavingNodeAdmitsOnlyRequestsItCanFinish)
{
    struct row {
        int arrivedMs; ///< Time since the node began to leave.
        std::optional<Scheduling::model_request> model;
        int status;
    };
    const row rows[] = {
        { 0, {}, 0 },
        { 0, makeModel(100, 20), 0 },
        { 0, makeModel(100, 500), 503 },
        { 5000, makeModel(100, 20), 503 },
        { 5000, {}, 0 },
        { 6700, {}, 503 },
    };
    for (const row& item : rows) {
        gateway_state state = makeState();
        applyMessage(state, leave_started {}, at(0));
        proxied_call call = makeCall("/open/x", "", item.arrivedMs);
        call.facts.model = item.model;
        const auto refusal = admit(state, call);
        CHECK_EQUAL(item.status, refusal ? refusal->status : 0);
    }
}
