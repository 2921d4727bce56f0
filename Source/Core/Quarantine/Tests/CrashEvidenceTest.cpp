/// @file
/// Which unanswered requests count as having been there when the endpoint went down.

#include "Quarantine/CrashEvidence.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Quarantine;

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

Fleet::endpoint_map listOne(const char* id, int64_t started, Fleet::endpoint_phase phase)
{
    Fleet::endpoint item;
    item.id = { id };
    item.started = { started };
    item.phase = phase;
    return { { item.id, item } };
}

} // namespace

TEST_GROUP(CrashEvidence) {};

TEST(CrashEvidence, OnlyAnEndpointThatVanishesWithoutNoticeSoonAfterTheBreakCounts)
{
    struct row {
        const char* condition;
        Fleet::endpoint_map listed;
        int listedAtMs; ///< After the break.
        size_t crashed;
        size_t pending;
    };
    const row rows[] = {
        { "still listed", listOne("e", 5, Fleet::endpoint_phase::Ready), 2000, 0, 1 },
        { "gone", {}, 2000, 1, 0 },
        { "started again", listOne("e", 6, Fleet::endpoint_phase::Ready), 2000, 1, 0 },
        { "leaving", listOne("e", 5, Fleet::endpoint_phase::Leaving), 2000, 0, 0 },
        { "gone long after", {}, 7000, 0, 0 },
        { "listed long after", listOne("e", 5, Fleet::endpoint_phase::Ready), 7000, 0, 0 },
    };
    for (const row& item : rows) {
        crash_evidence evidence;
        addUnanswered(evidence, { { { "e" }, { 5 } }, { "s" }, { { 1 } }, at(0), {} });
        CHECK_EQUAL_TEXT(item.crashed, takeVanished(evidence, item.listed, at(item.listedAtMs)).size(), item.condition);
        CHECK_EQUAL_TEXT(item.pending, evidence.pending.size(), item.condition);
    }
}

TEST(CrashEvidence, AnEndpointThatIsUpAfterTheBreakIsCleared)
{
    crash_evidence evidence;
    addUnanswered(evidence, { { { "e" }, { 5 } }, { "s" }, { { 1 } }, at(0), {} });
    addUnanswered(evidence, { { { "e" }, { 5 } }, { "s" }, { { 2 } }, at(200), {} });
    addUnanswered(evidence, { { { "f" }, { 5 } }, { "s" }, { { 3 } }, at(0), {} });
    clearStillUp(evidence, { { "e" }, { 5 } }, at(100));
    CHECK_EQUAL(2U, evidence.pending.size());
    CHECK_EQUAL(1U, takeCrashed(evidence, { { "e" }, { 5 } }).size());
    CHECK_EQUAL(1U, takeCrashed(evidence, { { "f" }, { 5 } }).size());
}

TEST(CrashEvidence, ManyUnansweredRequestsTakeBoundedMemory)
{
    crash_evidence evidence;
    for (uint64_t number = 0; number < 10 * maxPendingRequests; ++number)
        addUnanswered(evidence, { { { "e" }, { 5 } }, { "s" }, { { number } }, at(0), {} });
    CHECK_EQUAL(maxPendingRequests, evidence.pending.size());
}
