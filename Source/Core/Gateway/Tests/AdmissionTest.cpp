/// @file
/// Which requests are taken, and what those are told that are not.

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
    Catalog::route item;
    item.name = { prefix };
    item.host = "h.example";
    item.prefix = prefix;
    item.shares = { { { "s" }, 1 } };
    item.timeout = milliseconds(2000);
    item.isPublic = isPublic;
    return item;
}

gateway_state makeState()
{
    auto made = std::make_shared<Catalog::catalog>();
    made->version = 1;
    made->routes = { makeRoute("/own/", false), makeRoute("/open/", true) };
    Catalog::account account;
    account.id = { "clerks" };
    account.keys = { "k1" };
    account.allowed = { 100, 1000, true, 400 };
    made->accounts.push_back(account);
    Catalog::indexCatalog(*made);
    Fleet::node_facts facts;
    facts.isFirstStart = true;
    facts.bounds.grace = milliseconds(8000);
    gateway_state state = makeGatewayState(facts, 1);
    learn(state, catalog_known { made }, at(0));
    learn(state, peers_known {}, at(0));
    return state;
}

call makeCall(const char* target, const char* key, int ms = 0)
{
    call item;
    item.arrived = at(ms);
    item.request.target = target;
    item.request.headers = { { "Host", "h.example" } };
    item.facts.key = key;
    return item;
}

Scheduling::model_facts makeModel(uint32_t promptTokens, uint32_t outputTokens)
{
    Scheduling::model_facts model;
    model.promptTokens = promptTokens;
    model.mostOutputTokens = outputTokens;
    return model;
}

} // namespace

TEST_GROUP(Admission) {};

TEST(Admission, ARequestNeedsACatalogARouteAndAKey)
{
    struct row {
        const char* target;
        const char* key;
        int status; ///< Zero: taken.
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
        call asked = makeCall(item.target, item.key);
        const auto refusal = admit(state, asked);
        CHECK_EQUAL_TEXT(item.status, refusal ? refusal->status : 0, item.target);
        state.catalog = nullptr;
        const auto early = admit(state, asked);
        CHECK_EQUAL(503, early->status);
        CHECK(early->retryAfter.has_value());
    }
}

TEST(Admission, TheDeadlineIsTheCallersOrTheRoutes)
{
    struct row {
        std::optional<milliseconds> stated;
        int deadlineMs;
    };
    const row rows[] = { { milliseconds(500), 510 }, { milliseconds(9000), 2010 }, { {}, 2010 } };
    for (const row& item : rows) {
        gateway_state state = makeState();
        call asked = makeCall("/own/x", "k1", 10);
        asked.facts.timeBudget = item.stated;
        CHECK(!admit(state, asked));
        CHECK(asked.deadline == at(item.deadlineMs));
    }
}

TEST(Admission, TheAllowanceCountsTokens)
{
    // A burst of 1000 tokens: two requests without counts take 400 each, and a third finds too little.
    gateway_state state = makeState();
    call first = makeCall("/own/x", "k1");
    call second = makeCall("/own/x", "k1");
    call third = makeCall("/own/x", "k1");
    CHECK(!admit(state, first));
    CHECK(!admit(state, second));
    const auto refusal = admit(state, third);
    CHECK_EQUAL(429, refusal->status);
    CHECK(refusal->retryAfter > milliseconds(0));
    gateway_state fresh = makeState();
    call counted = makeCall("/own/x", "k1");
    counted.facts.model = makeModel(50, 20);
    CHECK(!admit(fresh, counted));
    DOUBLES_EQUAL(70, counted.granted, 0.1);
}

TEST(Admission, ALeavingNodeTakesWhatItCanFinish)
{
    struct row {
        int arrivedMs; ///< After the begin of leaving.
        std::optional<Scheduling::model_facts> model;
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
        learn(state, leave_begun {}, at(0));
        call asked = makeCall("/open/x", "", item.arrivedMs);
        asked.facts.model = item.model;
        const auto refusal = admit(state, asked);
        CHECK_EQUAL(item.status, refusal ? refusal->status : 0);
    }
}
