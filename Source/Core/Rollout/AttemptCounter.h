#pragma once

/// @file
/// Counts this node's attempts during a rollout, and keeps track of those that wait for their first event. Pure.

#include "Common/Ids.h"
#include "Rollout/VersionComparison.h"

#include <map>

namespace Rollout {

using class_evidence = std::map<Common::class_name, comparison>;

enum class attempt_event {
    Begun,
    FirstEvent, ///< Only of attempts with a number.
    Succeeded,
    Failed,
    Late,
    Abandoned, ///< Ended for a reason unrelated to the version; no longer counted as begun.
};

/// An event of one attempt, observed by this node's dispatch.
struct attempt_observed {
    std::string service;
    Common::version_name version;
    Common::class_name work;
    attempt_event event { attempt_event::Begun };
    Common::attempt_number number {}; ///< Zero if the attempt's latency isn't observed.
    double expectedMs { 0 }; ///< Expected time to the first event; of begun attempts with a number.
    double elapsedMs { 0 }; ///< Since the attempt began, without the time on the network; of attempts with a number.
};

/// An attempt without a first event.
struct waiting_attempt {
    Common::class_name work;
    bool isCandidate { false }; ///< At the new version.
    Common::wall_time begunAt;
    double expectedMs { 0 };
};

struct attempt_counter {
    class_evidence counts;
    std::map<Common::attempt_number, waiting_attempt> waiting;
};

/// Counts an event.
/// @param counter changed in place.
/// @param observed the event.
/// @param isCandidate whether the attempt is at the new version.
/// @param now current time.
void countAttempt(attempt_counter& counter, const attempt_observed& observed, bool isCandidate, Common::wall_time now);

/// Updates the histograms of the attempts that wait for their first event.
void countWaiting(attempt_counter& counter, Common::wall_time now);

} // namespace Rollout
