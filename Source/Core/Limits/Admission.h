#pragma once

/// @file
/// Decides which requests a node admits. A rejection is final: the request is not queued, and the failure states when to
/// retry. Reads no clock and no socket.

#include "Common/Failure.h"
#include "Configuration/Model.h"

#include <map>
#include <optional>

namespace Limits {

struct admission_settings {
    uint32_t maxInFlight { 2000 }; ///< Maximum number of requests in progress at this node.
    bool rejectsLate { true }; ///< Whether a request that is predicted to miss its target by far is rejected.
};

/// Requests in progress at this node.
struct admission_state {
    admission_settings settings;
    uint32_t inFlight { 0 };
    std::map<Common::account_id, uint32_t> inFlightByAccount;
};

/// The router's prediction for a request.
struct predicted_service {
    bool hasEndpoint { false }; ///< Whether any endpoint can serve the request.
    bool meetsTarget { false }; ///< Whether the latency target of its class is met.
    double firstTokenSeconds { 0 }; ///< Compared with the answer target if the class is not a model class.
};

/// Checks one request against the limits. An admitted request must be counted with recordAdmitted().
/// @param state requests in progress; not changed.
/// @param config contains the accounts with their shares.
/// @param account the client account of the request.
/// @param work the requested class of work.
/// @param predicted the router's prediction.
/// @return the failure with the time to retry, or nothing when the request is admitted.
std::optional<Common::failure> checkAdmission(const admission_state& state, const Configuration::configuration& config,
    const Common::account_id& account, const Configuration::class_of_work& work, const predicted_service& predicted);

/// Counts an admitted request as in progress, until recordEnded().
void recordAdmitted(admission_state& state, const Common::account_id& account);
/// Counts an admitted request as ended.
void recordEnded(admission_state& state, const Common::account_id& account);

} // namespace Limits
