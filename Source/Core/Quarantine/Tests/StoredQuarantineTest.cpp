/// @file
/// The rows of the store about quarantined fingerprints.

#include "Quarantine/RequestQuarantine.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Quarantine;

const fingerprint bad { 0xab };

Common::instant at(int64_t ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

} // namespace

TEST_GROUP(StoredQuarantine) {};

TEST(StoredQuarantine, ARowIsReadAsItWasWrittenAndAnUnreadableOneIsLeftOut)
{
    const stored_quarantine item { bad, 3, false, { { { "e1" }, { 1792817495870 } }, { { "e2" }, { -1 } } } };
    const auto read = decodeRow(encodeKey(bad), encodeValue(item));
    CHECK_TRUE(read.has_value() && read->subject == bad && read->trials == 3 && !read->isRemoved && read->crashes == item.crashes);
    struct row {
        const char* key;
        const char* value;
    };
    const row rows[] = { { "", "{\"trials\":1}" }, { "xyz", "{\"trials\":1}" }, { "00ab ", "{\"trials\":1}" }, { "00ab", "" }, { "00ab", "[]" }, { "00ab", "{}" }, { "00ab", "{\"trials\":-1}" }, { "00ab", "{\"trials\":\"1\"}" }, { "00ab", "{\"trials\":1,\"crashes\":1}" }, { "00ab", "{\"trials\":1,\"crashes\":[{}]}" } };
    for (const row& entry : rows)
        CHECK_FALSE_TEXT(decodeRow(entry.key, entry.value).has_value(), entry.key);
}

TEST(StoredQuarantine, WhatANodeReadsAtItsStartIsRefusedAndTriedLessOftenThanBefore)
{
    quarantine_state state;
    state.self = { "n1" };
    applyStored(state, { { bad, 2 } }, at(0));
    CHECK_TRUE(judgeRequest(state, { bad }, at(1)).refusedFor.has_value());
    CHECK_TRUE(judgeRequest(state, { bad }, at(firstTrialInterval.count() * 4 - 1)).refusedFor.has_value());
    CHECK_TRUE(judgeRequest(state, { bad }, at(firstTrialInterval.count() * 4)).isTrial);
    CHECK_EQUAL(1U, state.unstored.size());
    CHECK_EQUAL(3U, state.unstored[0].trials);
    recordAnswer(state, { bad }, at(firstTrialInterval.count() * 4 + 100));
    CHECK_TRUE(state.unstored.back().isRemoved);
}

TEST(StoredQuarantine, WhatWasAnsweredSinceTheStartIsNotRefused)
{
    quarantine_state state;
    recordAnswer(state, { bad }, at(0));
    applyStored(state, { { bad, 0 } }, at(10));
    CHECK_FALSE(judgeRequest(state, { bad }, at(20)).refusedFor.has_value());
}

TEST(StoredQuarantine, AFingerprintWhoseCrashesAnotherExplainsIsTriedSoonAfterAStart)
{
    const fingerprint innocent { 0xcd };
    const std::vector<endpoint_start> crashes { { { "e1" }, { 1 } }, { { "e2" }, { 1 } }, { { "e3" }, { 1 } } };
    quarantine_state state;
    state.self = { "n1" };
    applyStored(state, { { bad, 0, false, crashes }, { innocent, 0, false, crashes } }, at(0));
    CHECK_TRUE(judgeRequest(state, { innocent }, at(10)).isTrial);
    CHECK_TRUE(judgeRequest(state, { bad, innocent }, at(10000)).refusedFor.has_value());
}
