/// @file
/// Parsing and validation of operators' changes, and the JSON form of changes and configurations.

#include "Configuration/Change.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Configuration;
using nlohmann::json;

} // namespace

TEST_GROUP(ConfigurationModel) {};

TEST(ConfigurationModel, AllInvalidMembersAreReportedTogether)
{
    struct row {
        const char* body;
        size_t mistakes;
    };
    const row rows[] = {
        { R"({"name":"summary","work":"model","service":"m"})", 0 },
        { R"({"name":"","work":"model","service":"m"})", 1 },
        { R"({"name":"a b","work":"cooking","service":"m","first_token_ms":0})", 3 },
        { R"({"name":"a","service":"m","priority":10,"idempotent":"yes"})", 2 },
        { R"({})", 2 },
    };
    for (const row& item : rows) {
        const auto parsed = parseClass(json::parse(item.body));
        LONGS_EQUAL(item.mistakes, parsed ? 0 : parsed.error().size());
    }
}

TEST(ConfigurationModel, ProposalsAreParsedOrRejected)
{
    struct row {
        const char* proposal;
        bool isAccepted;
        const char* subject;
    };
    const row rows[] = {
        { R"({"kind":"class","body":{"name":"a","service":"m"}})", true, "a" },
        { R"({"kind":"version","body":{"name":"v2","service":"m","state":"taking_over"}})", true, "m/v2" },
        { R"({"kind":"account","body":{"name":"a","key_digest":"00"}})", true, "a" },
        { R"({"kind":"weights","body":{}})", false, "" },
        { R"({"kind":"class"})", false, "" },
        { R"([])", false, "" },
    };
    for (const row& item : rows) {
        const auto parsed = parseProposal(json::parse(item.proposal));
        CHECK_EQUAL(item.isAccepted, parsed.has_value());
        if (parsed)
            STRCMP_EQUAL(item.subject, parsed->subject.c_str());
    }
}

TEST(ConfigurationModel, AChangeAndAConfigurationRoundTripThroughJson)
{
    auto item = parseProposal(json::parse(R"({"kind":"class","cause":"why","body":{"name":"a","service":"m","priority":3}})"));
    CHECK(item.has_value());
    item->version = { 1 };
    item->token = "t";
    const auto decoded = decodeChange(encodeChange(*item));
    CHECK(decoded.has_value());
    STRCMP_EQUAL(encodeChange(*item).c_str(), encodeChange(*decoded).c_str());
    configuration state;
    CHECK(applyChange(state, *decoded));
    const auto reparsed = parseConfiguration(json::parse(toJson(state).dump()));
    CHECK(reparsed.has_value());
    STRCMP_EQUAL(toJson(state).dump().c_str(), toJson(*reparsed).dump().c_str());
}

TEST(ConfigurationModel, AVersionThatBecomesCurrentReplacesThePreviousOne)
{
    configuration state;
    const char* proposals[] = {
        R"({"kind":"version","body":{"name":"v1","service":"m","state":"current"}})",
        R"({"kind":"version","body":{"name":"v2","service":"m","state":"taking_over"}})",
        R"({"kind":"version","body":{"name":"v2","service":"m","state":"current"}})",
    };
    uint64_t version = 0;
    for (const char* text : proposals) {
        auto item = parseProposal(json::parse(text));
        item->version = { ++version };
        CHECK(applyChange(state, *item));
    }
    LONGS_EQUAL(1, state.versions.size());
    CHECK(state.versions.contains("m/v2"));
}
