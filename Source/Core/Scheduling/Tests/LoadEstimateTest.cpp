/// @file
/// How much a reported load counts by its age, and which endpoints hold shared prompt parts.

#include "Scheduling/LoadEstimate.h"
#include "Scheduling/PromptHolders.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <string>

namespace {

using namespace Scheduling;

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

service_load makeService()
{
    service_load service;
    service.hasSharedMachines = true;
    service.meanOthers = 4;
    service.meanUncachedTokens = 2000;
    service.meanFirstEventMs = 200;
    service.meanTotalMs = 1000;
    return service;
}

model_request makeRequest(const std::string& shared)
{
    return { "m", 9000, 50, {}, { { "root", 2000 }, { shared, 4000 }, { "own-" + shared, 3000 } } };
}

std::vector<Common::endpoint_id> makeEndpoints(size_t count)
{
    std::vector<Common::endpoint_id> endpoints;
    for (size_t number = 0; number < count; ++number)
        endpoints.push_back({ "i-" + std::to_string(number) });
    return endpoints;
}

} // namespace

TEST_GROUP(LoadEstimate) {};

// Guards against nodes that all trust the same old report, and against a report that stops counting all at once.
TEST(LoadEstimate, AReportFadesIntoTheMeanOfTheService)
{
    struct row {
        const char* condition;
        std::optional<load_report> report;
        int nowMs;
        double lowest;
        double highest;
    };
    const row rows[] = {
        { "no report", {}, 0, 4, 4 },
        { "just now, busy", load_report { { 20, 2, 48, 100 }, 2, at(0) }, 0, 20, 20 },
        { "just now, idle", load_report { { 1, 0, 48, 100 }, 1, at(0) }, 0, 0, 0 },
        { "as old as a request lasts", load_report { { 22, 0, 48, 100 }, 2, at(0) }, 1000, 9, 11 },
        { "long ago", load_report { { 22, 0, 48, 100 }, 2, at(0) }, 20000, 4, 4.1 },
        { "own requests only, in another order", load_report { { 1, 0, 48, 100 }, 3, at(0) }, 0, 0, 0 },
    };
    for (const row& item : rows) {
        const double others = estimateOthers(makeService(), item.report, at(item.nowMs));
        CHECK_TRUE_TEXT(others >= item.lowest && others <= item.highest, item.condition);
    }
}

TEST(LoadEstimate, APaceCountsForAMomentOnlyAndWithinBounds)
{
    struct row {
        const char* condition;
        std::optional<uint32_t> pace;
        int ageMs;
        double lowest;
        double highest;
    };
    const row rows[] = {
        { "not stated", {}, 0, 1, 1 },
        { "as usual", 100, 0, 1, 1 },
        { "slow just now", 250, 0, 2.5, 2.5 },
        { "slow half a second ago", 250, 500, 1.1, 1.4 },
        { "slow long ago", 250, 5000, 1, 1.01 },
        { "beyond what is plausible", 100000, 0, 5, 5 },
        { "zero", 0, 0, 0.5, 0.5 },
    };
    for (const row& item : rows) {
        const double factor = estimatePace(load_report { { 1, 0, 8, item.pace }, 0, at(0) }, at(item.ageMs));
        CHECK_TRUE_TEXT(factor >= item.lowest && factor <= item.highest, item.condition);
    }
}

TEST(LoadEstimate, HoldersAreSpreadEvenlyAndStayWhenEndpointsComeAndGo)
{
    constexpr int parts = 2000;
    const auto endpoints = makeEndpoints(30);
    std::map<Common::endpoint_id, int> counts;
    int moved = 0;
    for (int part = 0; part < parts; ++part) {
        const model_request request = makeRequest("part-" + std::to_string(part));
        const auto holders = findPromptHolders(request, endpoints);
        CHECK_EQUAL(2, holders.size());
        CHECK_TRUE(holders[0].cachedTokens > holders[1].cachedTokens);
        ++counts[holders[0].endpoint];
        const auto remaining = findPromptHolders(request, makeEndpoints(29));
        moved += remaining[0].endpoint != holders[0].endpoint ? 1 : 0;
    }
    for (const auto& [id, count] : counts)
        CHECK_TRUE(count < 2 * parts / 30);
    // Only the parts of the endpoint that is gone move.
    CHECK_EQUAL(counts[{ "i-29" }], moved);
}

TEST(LoadEstimate, ARequestWithoutSharedPartsHasNoHolder)
{
    struct row {
        const char* condition;
        std::vector<prompt_part> parts;
        size_t endpoints;
        size_t holders;
    };
    const row rows[] = {
        { "no parts", {}, 3, 0 },
        { "only its own part", { { "own", 100 } }, 3, 0 },
        { "a shared part", { { "a", 50 }, { "own", 50 } }, 3, 2 },
        { "one endpoint", { { "a", 50 }, { "own", 50 } }, 1, 1 },
        { "no endpoint", { { "a", 50 }, { "own", 50 } }, 0, 0 },
    };
    for (const row& item : rows)
        CHECK_EQUAL_TEXT(item.holders, findPromptHolders({ "m", 100, 10, {}, item.parts }, makeEndpoints(item.endpoints)).size(), item.condition);
}
