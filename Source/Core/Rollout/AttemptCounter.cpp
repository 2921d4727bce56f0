#include "Rollout/AttemptCounter.h"

#include <algorithm>

namespace Rollout {

namespace {

    /// Part of the time waited that may have passed on the network.
    constexpr int64_t maxNetworkMs = 250;

    attempt_counts& sideOf(comparison& counts, bool isCandidate)
    {
        return isCandidate ? counts.candidate : counts.previous;
    }

    size_t binOf(const waiting_attempt& attempt, double elapsedMs)
    {
        return latencyBinOf(elapsedMs / std::max(1.0, attempt.expectedMs));
    }

    void countLatency(attempt_counter& counter, const attempt_observed& observed)
    {
        const auto found = counter.waiting.find(observed.number);
        if (found == counter.waiting.end())
            return;
        const waiting_attempt& attempt = found->second;
        latency_counts& latencies = sideOf(counter.counts[attempt.work], attempt.isCandidate).latencies;
        const bool isAnswered = observed.event == attempt_event::FirstEvent;
        ++(isAnswered ? latencies.answered : latencies.unanswered)[binOf(attempt, observed.elapsedMs)];
        counter.waiting.erase(found);
    }

    void countOutcome(attempt_counts& counts, attempt_event event)
    {
        ++counts.ended;
        counts.failed += event == attempt_event::Failed ? 1 : 0;
        counts.late += event == attempt_event::Late ? 1 : 0;
    }

} // namespace

void countAttempt(attempt_counter& counter, const attempt_observed& observed, bool isCandidate, Common::wall_time now)
{
    attempt_counts& counts = sideOf(counter.counts[observed.work], isCandidate);
    switch (observed.event) {
    case attempt_event::Begun:
        ++counts.begun;
        if (observed.number.value != 0)
            counter.waiting[observed.number] = { observed.work, isCandidate, now, observed.expectedMs };
        return;
    case attempt_event::FirstEvent:
        return countLatency(counter, observed);
    case attempt_event::Abandoned:
        counts.begun -= counts.begun > counts.ended ? 1 : 0;
        return countLatency(counter, observed);
    case attempt_event::Succeeded:
    case attempt_event::Failed:
    case attempt_event::Late:
        countOutcome(counts, observed.event);
        return countLatency(counter, observed);
    }
}

void countWaiting(attempt_counter& counter, Common::wall_time now)
{
    for (auto& [work, compared] : counter.counts) {
        compared.candidate.latencies.waiting = {};
        compared.previous.latencies.waiting = {};
    }
    for (const auto& [id, attempt] : counter.waiting) {
        const int64_t waitedMs = std::max<int64_t>(now.value - attempt.begunAt.value - maxNetworkMs, 0);
        ++sideOf(counter.counts[attempt.work], attempt.isCandidate).latencies.waiting[binOf(attempt, static_cast<double>(waitedMs))];
    }
}

} // namespace Rollout
