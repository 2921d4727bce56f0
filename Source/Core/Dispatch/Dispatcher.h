#pragma once

/// @file
/// The decisions of the dispatch duty: from a caller's request to its whole answer. No clock, no socket.

#include "Dispatch/Request.h"
#include "Limits/Admission.h"
#include "Limits/RetryBudget.h"
#include "Routing/Router.h"

#include <memory>
#include <unordered_map>

namespace Dispatch {

struct dispatch_settings {
    Common::node_id node;
    Common::incarnation_number incarnation;
    std::chrono::milliseconds reconnectGrace { 2000 }; ///< How long work goes on for a caller that is gone.
    std::chrono::milliseconds longestRequest { 300000 };
    size_t pauseAboveBytes { size_t { 256 } * 1024 }; ///< Unwritten bytes at which an engine's stream is paused.
};

struct dispatch_counters {
    uint64_t tokensGenerated { 0 };
    uint64_t tokensRecomputed { 0 };
};

struct dispatch_state {
    dispatch_settings settings;
    std::shared_ptr<const Configuration::configuration> config { std::make_shared<const Configuration::configuration>() };
    Routing::router_state router;
    Limits::admission_state admission;
    Limits::retry_budgets budgets;
    std::unordered_map<Common::request_id, std::unique_ptr<request_entry>> requests;
    std::unordered_map<uint64_t, request_entry*> byAttempt;
    std::unordered_map<uint64_t, request_entry*> byCaller;
    std::map<std::string, Rollout::publish_shares> sharesByService;
    uint64_t lastAttempt { 0 };
    uint64_t lastRequest { 0 };
    bool isDraining { false };
    dispatch_counters counters;
};

/// The time as read just before a step.
struct clock_reading {
    Common::instant now;
    Common::wall_time wall;
};

/// What the handlers of one step share.
struct step_context {
    dispatch_state& state;
    clock_reading clock;
    std::vector<dispatch_action>& output;
};

/// @param state everything in flight at this node; changed in place.
/// @param message what happened.
/// @param clock the present time.
/// @return what has to be done, in order.
std::vector<dispatch_action> stepDispatch(dispatch_state& state, dispatch_message&& message, clock_reading clock);

/// @return requests that still need this node: in flight, or with an outcome that is not stored.
size_t countUnfinished(const dispatch_state& state);

// What the slices of model work and service calls share.

/// Admits a request or answers with the refusal.
/// @return the request, or nothing when it was refused.
request_entry* admit(step_context& context, caller_request&& message);
/// Chooses an endpoint and takes the attempt into the books.
/// @return whether there was an endpoint.
bool assignEndpoint(step_context& context, request_entry& request);
/// Takes the ended or cancelled attempt out of the books.
void closeAttempt(step_context& context, request_entry& request, const Routing::attempt_outcome& outcome);
/// Ends a request and forgets it.
void forget(step_context& context, request_entry& request);
/// Detaches a caller from its request.
void detachCaller(step_context& context, request_entry& request);
/// Adds an event for logs and explanations.
void note(step_context& context, std::string_view event, const request_entry& request, nlohmann::json fields);

} // namespace Dispatch
