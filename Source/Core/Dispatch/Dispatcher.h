#pragma once

/// @file
/// The decisions of the dispatch duty, from a caller's request to its complete answer. Times are passed in and all
/// output is returned as actions, so nothing here reads a clock or a socket.

#include "Dispatch/RefusedWork.h"
#include "Dispatch/Request.h"
#include "Limits/AccountRetryBudget.h"
#include "Limits/Admission.h"
#include "Routing/Router.h"

#include <memory>
#include <unordered_map>

namespace Dispatch {

struct dispatch_settings {
    Common::node_id node;
    Common::incarnation_number incarnation;
    /// How long a request continues, and a finished answer is kept, after its caller disconnected.
    std::chrono::milliseconds reconnectGrace { 2000 };
    std::chrono::milliseconds maxRequestDuration { 300000 };
    size_t pauseAboveBytes { size_t { 256 } * 1024 }; ///< Unwritten bytes at which the engine's stream is paused.
};

struct dispatch_counters {
    uint64_t tokensGenerated { 0 };
    uint64_t tokensRecomputed { 0 }; ///< Already generated tokens that another attempt had to process again.
};

struct dispatch_state {
    dispatch_settings settings;
    std::shared_ptr<const Configuration::configuration> config { std::make_shared<const Configuration::configuration>() };
    Routing::router_state router;
    Limits::admission_state admission;
    Limits::retry_budgets budgets;
    std::unordered_map<Common::request_id, std::unique_ptr<request_entry>> requests;
    std::unordered_map<uint64_t, request_entry*> byAttempt; ///< Key: number of the attempt in progress.
    std::unordered_map<uint64_t, request_entry*> byCaller; ///< Key: token of the connected caller.
    std::map<std::string, Rollout::publish_shares> sharesByService;
    refused_work refused;
    uint64_t lastAttempt { 0 };
    uint64_t lastRequest { 0 };
    bool isDraining { false };
    dispatch_counters counters;
};

/// Steady and wall-clock time, read just before a step.
struct clock_reading {
    Common::instant now;
    Common::wall_time wall;
};

/// State, time and output of one step, passed to its handlers.
struct step_context {
    dispatch_state& state;
    clock_reading clock;
    std::vector<dispatch_action>& output;
};

/// Handles one message.
/// @param state everything in flight at this node; updated.
/// @param message the message to handle.
/// @param clock current time.
/// @return the actions to perform, in order.
std::vector<dispatch_action> stepDispatch(dispatch_state& state, dispatch_message&& message, clock_reading clock);

/// @return number of requests that still need this node: in flight, or with an outcome that isn't stored yet.
size_t countUnfinished(const dispatch_state& state);

// Functions shared by ModelWork.cpp and ServiceCall.cpp.

/// Admits a request, or answers its caller with the reason of the refusal.
/// @return the request, owned by the state; null when it was refused.
request_entry* admit(step_context& context, caller_request&& message);
/// Chooses an endpoint and registers a new attempt there.
/// @return false when no endpoint is usable.
bool assignEndpoint(step_context& context, request_entry& request);
/// Unregisters the request's ended or cancelled attempt and reports its outcome to the router and the rollout.
void closeAttempt(step_context& context, request_entry& request, const Routing::attempt_outcome& outcome);
/// Cancels the request's attempt, detaches its caller and deletes it; the reference is invalid afterwards.
void removeRequest(step_context& context, request_entry& request);
/// Detaches the caller, if any, from its request.
void detachCaller(step_context& context, request_entry& request);
/// Adds an event about the request, for the log and for explanations.
/// @param event name of the log event.
void recordEvent(step_context& context, std::string_view event, const request_entry& request, nlohmann::json fields);

} // namespace Dispatch
