#pragma once

/// @file
/// Carries out what the evaluation of rollouts decides: shares for the gateway, messages to other nodes, and the status in
/// the store.

#include "Control/ControlContext.h"
#include "Control/RolloutTracker.h"

namespace Control {

struct rollout_runner {
    control_context& context;
    const control_outlets& outlets;
    rollout_tracker tracker {};
    Common::instant nextTick {};
};

/// Performs the actions of the evaluation.
void perform(rollout_runner& runner, const rollout_actions& actions);

/// Evaluates the rollouts in progress when an evaluation is due.
void tickRollouts(rollout_runner& runner, Common::instant now);

/// Applies the status of rollouts that the store has.
/// @param rows rows of the status table.
void readStatusRows(rollout_runner& runner, const std::map<std::string, Store::row>& rows);

/// Writes the status of a rollout to the store if it has changed, on the condition that the row is still the one that was
/// read just before: an end that the store holds for the order is taken over instead. Only the lease holder may call this.
void reportRollouts(rollout_runner& runner);

} // namespace Control
