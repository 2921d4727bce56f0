/// @file
/// Choice of endpoints: cheapest within the target, herding, ejection, version shares, baseline policies.

#include "Routing/Router.h"

#include <CppUTest/TestHarness.h>

#include <set>

namespace {

using namespace Routing;

const Common::instant testStart = Common::instant {} + std::chrono::hours(1);

Endpoints::instance_info makeInstance(const std::string& id, const std::string& zone, const std::string& region, int64_t price, const std::string& version = "v1")
{
    Endpoints::instance_info info;
    info.id = { id };
    info.service = "m";
    info.version = { version };
    info.zone = { zone };
    info.region = { region };
    info.pricePerHour = { price };
    info.slots = 4;
    return info;
}

Configuration::class_of_work makeClass(int firstTokenMilliseconds = 810)
{
    Configuration::class_of_work work;
    work.service = "m";
    work.firstTokenTarget = std::chrono::milliseconds(firstTokenMilliseconds);
    return work;
}

router_state makeState(policy chosen = policy::CheapestInTarget)
{
    router_state state;
    state.chosenPolicy = chosen;
    state.zone = { "east" };
    state.region = { "home" };
    setEndpoints(state, { makeInstance("cheap", "west", "home", 100), makeInstance("expensive", "east", "home", 900), makeInstance("far", "x", "abroad", 50) }, testStart);
    return state;
}

std::string choose(router_state& state, const Configuration::class_of_work& work, std::vector<Common::endpoint_id> avoided = {})
{
    routing_request request;
    request.work = &work;
    request.avoided = std::move(avoided);
    const auto choice = chooseEndpoint(state, request, testStart);
    return choice ? state.views[choice->index].info->id.value : "none";
}

} // namespace

TEST_GROUP(Router) {};

TEST(Router, CheapestEndpointThatMeetsTheTargetIsChosen)
{
    struct row {
        uint32_t waitingAtCheap;
        const char* expected;
    };
    // "far" has the lowest price but the transfer cost of another region; a queue at "cheap" exceeds the target there.
    const row rows[] = { { 0, "cheap" }, { 40, "expensive" } };
    for (const row& item : rows) {
        router_state state = makeState();
        applyLoadReport(state, { { "cheap" }, 4, item.waitingAtCheap, false });
        STRCMP_EQUAL(item.expected, choose(state, makeClass()).c_str());
    }
}

TEST(Router, AttemptsSentSinceTheLastReportCountAsLoad)
{
    router_state state = makeState();
    applyLoadReport(state, { { "cheap" }, 0, 0, false });
    for (int sent = 0; sent < 40; ++sent)
        recordAttemptStart(state, { "cheap" }, 0);
    STRCMP_EQUAL("expensive", choose(state, makeClass()).c_str());
    applyLoadReport(state, { { "cheap" }, 0, 0, false });
    STRCMP_EQUAL("cheap", choose(state, makeClass()).c_str());
}

TEST(Router, EqualEndpointsShareTheLoad)
{
    router_state state;
    std::vector<Endpoints::instance_info> instances;
    for (int index = 0; index < 10; ++index)
        instances.push_back(makeInstance("e" + std::to_string(index), "east", "home", 100));
    setEndpoints(state, instances, testStart);
    std::set<std::string> chosen;
    for (int round = 0; round < 200; ++round)
        chosen.insert(choose(state, makeClass()));
    LONGS_EQUAL(10, chosen.size());
}

TEST(Router, PrefixHolderIsChosenAmongMoreEndpointsThanOneDecisionExamines)
{
    router_state state;
    std::vector<Endpoints::instance_info> instances;
    for (int index = 0; index < 300; ++index)
        instances.push_back(makeInstance("e" + std::to_string(index), "east", "home", 100));
    setEndpoints(state, instances, testStart);
    recordAttemptStart(state, { "e77" }, 42);
    const auto work = makeClass();
    routing_request request;
    request.work = &work;
    request.prefixHash = 42;
    for (int round = 0; round < 50; ++round)
        STRCMP_EQUAL("e77", state.views[chooseEndpoint(state, request, testStart)->index].info->id.value.c_str());
}

TEST(Router, FailingEndpointIsEjectedAndReadmittedLater)
{
    router_state state = makeState();
    for (int failures = 0; failures < 10; ++failures)
        recordAttemptEnd(state, { "cheap" }, { true, {} }, testStart);
    STRCMP_EQUAL("expensive", choose(state, makeClass()).c_str());
    routing_request request;
    const auto work = makeClass();
    request.work = &work;
    const auto later = chooseEndpoint(state, request, testStart + std::chrono::hours(1));
    STRCMP_EQUAL("cheap", state.views[later->index].info->id.value.c_str());
}

TEST(Router, AvoidedEndpointsAndUnknownServicesAreNotChosen)
{
    router_state state = makeState();
    STRCMP_EQUAL("expensive", choose(state, makeClass(), { { "cheap" } }).c_str());
    auto unknown = makeClass();
    unknown.service = "other";
    STRCMP_EQUAL("none", choose(state, unknown).c_str());
}

TEST(Router, VersionReceivesItsShareOfTheTraffic)
{
    struct row {
        uint32_t share;
        int minimum;
        int maximum;
    };
    const row rows[] = { { 0, 0, 0 }, { 10, 1, 60 }, { 1000, 2000, 2000 } };
    for (const row& item : rows) {
        router_state state;
        setEndpoints(state, { makeInstance("old", "east", "home", 100), makeInstance("new", "east", "home", 100, "v2") }, testStart);
        const std::map<Common::version_name, uint32_t> shares { { { "v2" }, item.share } };
        const auto work = makeClass();
        routing_request request;
        request.work = &work;
        request.versionShares = &shares;
        int toNew = 0;
        for (int round = 0; round < 2000; ++round)
            toNew += state.views[chooseEndpoint(state, request, testStart)->index].info->id.value == "new" ? 1 : 0;
        CHECK(toNew >= item.minimum && toNew <= item.maximum);
    }
}

// Guards against requests that are refused during a rollout although an endpoint of the service is there.
TEST(Router, AVersionServesBeyondItsShareOnlyWhenNoOtherIsListed)
{
    struct row {
        const char* condition;
        std::vector<const char*> versions; ///< Of the endpoints, which have the version as their id.
        const char* current; ///< Empty: none.
        std::vector<const char*> avoided;
        const char* expected;
    };
    const row rows[] = {
        { "both are listed", { "v1", "v2" }, "v1", {}, "v1" },
        { "no current version is known", { "v1", "v2" }, "", {}, "v1" },
        { "the new one alone", { "v2" }, "v1", {}, "v2" },
        { "the new one alone, no current version", { "v2" }, "", {}, "v2" },
        { "the old one was tried", { "v1", "v2" }, "v1", { "v1" }, "none" },
        { "the only one was tried", { "v2" }, "v1", { "v2" }, "none" },
    };
    for (const row& item : rows) {
        router_state state;
        std::vector<Endpoints::instance_info> instances;
        for (const char* version : item.versions)
            instances.push_back(makeInstance(version, "east", "home", 100, version));
        setEndpoints(state, instances, testStart);
        const std::map<Common::version_name, uint32_t> shares { { { "v2" }, 0 } };
        const Common::version_name current { item.current };
        const auto work = makeClass();
        routing_request request;
        request.work = &work;
        request.versionShares = &shares;
        request.currentVersion = &current;
        for (const char* id : item.avoided)
            request.avoided.push_back({ id });
        const auto choice = chooseEndpoint(state, request, testStart);
        STRCMP_EQUAL_TEXT(item.expected, choice ? state.views[choice->index].info->id.value.c_str() : "none", item.condition);
    }
}

TEST(Router, BaselinePoliciesChooseByTheirOwnCriterion)
{
    struct row {
        policy chosen;
        const char* expected;
    };
    const row rows[] = { { policy::Nearest, "expensive" }, { policy::LeastReported, "far" } };
    for (const row& item : rows) {
        router_state state = makeState(item.chosen);
        applyLoadReport(state, { { "cheap" }, 3, 0, false });
        applyLoadReport(state, { { "expensive" }, 2, 0, false });
        STRCMP_EQUAL(item.expected, choose(state, makeClass()).c_str());
    }
    router_state state = makeState(policy::RoundRobin);
    std::set<std::string> chosen;
    for (int round = 0; round < 3; ++round)
        chosen.insert(choose(state, makeClass()));
    LONGS_EQUAL(3, chosen.size());
}
