#pragma once

/// @file
/// Which requests a node takes. A refusal is final and says when to come back. No clock, no socket.

#include "Common/Failure.h"
#include "Configuration/Model.h"

#include <map>
#include <optional>

namespace Limits {

struct admission_settings {
    uint32_t maxInFlight { 2000 }; ///< Requests that this node holds at once.
    bool refusesLate { true }; ///< Whether a request that would miss its target by far is refused.
};

struct admission_state {
    admission_settings settings;
    uint32_t inFlight { 0 };
    std::map<Common::account_id, uint32_t> inFlightByAccount;
};

/// What the router predicts for a request.
struct predicted_service {
    bool hasEndpoint { false };
    bool meetsTarget { false };
    double firstTokenSeconds { 0 };
};

/// Decides on one request.
/// @param state what this node holds; not changed.
/// @param config accounts with their shares.
/// @param account who asks.
/// @param work the class that is asked for.
/// @param predicted what the router expects.
/// @return nothing when the request is admitted, else the refusal.
std::optional<Common::failure> refuse(const admission_state& state, const Configuration::configuration& config,
    const Common::account_id& account, const Configuration::class_of_work& work, const predicted_service& predicted);

/// Counts an admitted request.
void noteAdmitted(admission_state& state, const Common::account_id& account);
/// Counts a request as ended.
void noteReleased(admission_state& state, const Common::account_id& account);

} // namespace Limits
