/// @file
/// Counts of attempts during a rollout: first events, and attempts that wait for theirs.

#include "Rollout/AttemptCounter.h"

#include <CppUTest/TestHarness.h>

using namespace Rollout;

TEST_GROUP(AttemptCounter) {};

TEST(AttemptCounter, EachAttemptIsCountedOnceByItsLatency)
{
    struct row {
        const char* name;
        attempt_event end;
        double elapsedMs;
        uint64_t answered;
        uint64_t unanswered;
        uint64_t waiting;
    };
    const row rows[] = {
        { "first event", attempt_event::FirstEvent, 100, 1, 0, 0 },
        { "no first event", attempt_event::Failed, 800, 0, 1, 0 },
        { "abandoned", attempt_event::Abandoned, 800, 0, 1, 0 },
        { "waiting", attempt_event::Begun, 0, 0, 0, 1 },
    };
    for (const row& item : rows) {
        attempt_counter counter;
        attempt_observed observed { "s", { "v2" }, { "r" }, attempt_event::Begun, { 7 }, 100, 0 };
        countAttempt(counter, observed, true, { 0 });
        observed.event = item.end;
        observed.elapsedMs = item.elapsedMs;
        if (item.end != attempt_event::Begun)
            countAttempt(counter, observed, true, { 800 });
        countWaiting(counter, { 1050 });
        const latency_counts& counts = counter.counts[{ "r" }].candidate.latencies;
        CHECK_EQUAL_TEXT(item.answered, counts.answered[latencyBinOf(1)], item.name);
        CHECK_EQUAL_TEXT(item.unanswered, counts.unanswered[latencyBinOf(8)], item.name);
        CHECK_EQUAL_TEXT(item.waiting, counts.waiting[latencyBinOf(8)], item.name);
        const latency_counts& previous = counter.counts[{ "r" }].previous.latencies;
        CHECK_EQUAL_TEXT(0, previous.answered[latencyBinOf(1)], item.name);
    }
}

TEST(AttemptCounter, BinLimitsGrowByTheSquareRootOfTwo)
{
    struct row {
        double latency;
        size_t bin;
    };
    const row rows[] = { { 0, 0 }, { 0.12, 0 }, { 0.13, 1 }, { 0.18, 2 }, { 1.01, 7 }, { 1.5, 8 }, { 1e9, latencyBins - 1 } };
    for (const row& item : rows)
        CHECK_EQUAL(item.bin, latencyBinOf(item.latency));
}
