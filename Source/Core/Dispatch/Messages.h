#pragma once

/// @file
/// The messages that the dispatch duty receives from other duties, and the actions that it decides on.

#include "Common/Failure.h"
#include "Common/Ids.h"
#include "Configuration/Model.h"
#include "Endpoints/Model.h"
#include "Http/Client.h"
#include "Platform/Table.h"
#include "Rollout/Rollout.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace Dispatch {

/// An authenticated and validated request of a client account.
struct caller_request {
    Common::caller_token token;
    Common::account_id account;
    Configuration::class_of_work work;
    bool isStreamed { false };
    nlohmann::json body; ///< Model work only: the chat completion request.
    std::string rawBody; ///< Service calls only: the body as received.
    std::string path; ///< Service calls only: the path at the service.
    std::string idempotencyKey; ///< Empty when the caller sent none.
};

/// A caller reconnects to a request in flight.
struct caller_resume {
    Common::caller_token token;
    Common::account_id account;
    Common::request_id request;
    uint64_t afterPosition { 0 }; ///< Tokens that the caller already has.
    bool isStreamed { true };
};

/// Bytes of a streamed answer were written to the caller's connection, or the connection was closed.
struct caller_progress {
    Common::caller_token token;
    size_t bytes { 0 };
    bool isAlive { true }; ///< False when the connection was closed.
};

/// Tokens from an engine, in order.
struct attempt_tokens {
    Common::attempt_number attempt;
    std::vector<std::string> texts;
};

/// An attempt ended, completely or not.
struct attempt_ended {
    Common::attempt_number attempt;
    Http::transfer_end end { Http::transfer_end::NotSent };
    int status { 0 };
    std::string body; ///< Answer body of a service call or of a refused request.
    std::string finishReason; ///< Model work only: empty unless the engine reported that it had finished.
};

/// The access to the at-most-once record that a table reply belongs to.
enum class record_step {
    ClaimWritten,
    ClaimRead,
    OutcomeWritten,
    SettleRead, ///< Reads back a claim whose call was refused although the write may have been applied.
};

struct record_reply {
    Common::request_id request;
    record_step step { record_step::ClaimWritten };
    Platform::table_reply reply;
};

struct configuration_published {
    std::shared_ptr<const Configuration::configuration> state;
};

struct endpoints_published {
    Endpoints::endpoint_list usable;
    double nodesPerEndpoint { 1 }; ///< Estimated number of entry nodes that send requests to the same endpoint, this one included.
};

struct load_published {
    Endpoints::load_report report;
};

/// Complete state of a request in flight, as a leaving node hands it over to a peer.
struct request_transfer {
    Common::request_id request;
    Common::account_id account;
    Common::class_name work;
    nlohmann::json body;
    std::vector<std::string> tokens; ///< Texts of the tokens generated so far, in order.
    bool isStreamed { true };
};

/// How the traffic of a service is split among its versions.
struct shares_published {
    Rollout::publish_shares shares;
};

/// A leaving peer offers a request.
struct transfer_offered {
    Common::node_id from;
    request_transfer transfer;
};

/// A peer has accepted a request that this node offered.
struct transfer_accepted {
    Common::request_id request;
    std::string httpAddress; ///< Where the caller continues the request.
};

/// The node has begun to leave: new requests are refused.
struct drain_begun { };

/// A peer asks whether this node holds a request that one of its callers wants to resume.
struct holder_query {
    Common::request_id request;
    Common::node_id requester;
};

/// Offer the model requests still in flight to peers.
struct handover_begun { };

/// Sent at a fixed interval to check time limits and retries.
struct dispatch_tick { };

using dispatch_message = std::variant<caller_request, caller_resume, caller_progress, attempt_tokens, attempt_ended, record_reply,
    configuration_published, endpoints_published, load_published, shares_published, transfer_offered, transfer_accepted, holder_query, drain_begun, handover_begun, dispatch_tick>;

/// Sends a request to an endpoint.
struct start_attempt {
    Common::attempt_number attempt;
    Common::endpoint_id endpoint;
    std::string address;
    std::string path;
    std::string body;
    std::string idempotencyKey;
    bool isModelWork { true };
    bool mayRepeat { true };
    std::chrono::milliseconds timeLimit { 60000 };
};

struct cancel_attempt {
    Common::attempt_number attempt;
};

/// Stops reading from the endpoint because its caller is slow.
struct pause_attempt {
    Common::attempt_number attempt;
};

struct resume_attempt {
    Common::attempt_number attempt;
};

struct send_stream_head {
    Common::caller_token token;
    Common::request_id request;
    uint64_t afterPosition { 0 }; ///< Tokens that the caller already has.
};

struct send_tokens {
    Common::caller_token token;
    Common::request_id request;
    Common::class_name work;
    uint64_t firstPosition { 0 }; ///< Position of the first text; positions count from one.
    std::vector<std::string> texts;
};

/// Ends a stream whose answer is complete.
struct send_stream_end {
    Common::caller_token token;
    Common::request_id request;
    Common::class_name work;
    std::string finishReason;
    uint64_t tokenCount { 0 };
};

/// Ends a stream whose request failed after the response head was sent.
struct send_stream_failure {
    Common::caller_token token;
    Common::request_id request;
    Common::failure reason;
};

/// The complete answer of model work that isn't streamed.
struct send_completion {
    Common::caller_token token;
    Common::request_id request;
    Common::class_name work;
    std::string text;
    std::string finishReason;
    uint64_t tokenCount { 0 };
};

/// The complete answer of a service call.
struct send_service_answer {
    Common::caller_token token;
    Common::request_id request;
    int status { 0 };
    std::string body;
    bool isReplay { false }; ///< The stored outcome of an earlier call with the same idempotency key.
};

struct send_failure {
    Common::caller_token token;
    Common::request_id request;
    Common::failure reason;
};

/// The request continues at a peer: redirect the caller there.
struct send_redirect {
    Common::caller_token token;
    Common::request_id request;
    std::string httpAddress;
    bool isStreamed { false };
};

/// Asks the peers for a request that this node doesn't hold.
struct locate_request {
    Common::caller_token token;
    Common::request_id request;
};

struct write_record {
    Common::request_id request;
    record_step step { record_step::ClaimWritten };
    Platform::table_put put;
};

struct read_record {
    Common::request_id request;
    record_step step { record_step::ClaimRead };
    Platform::table_key key;
};

/// Reports how an attempt at a service version began or ended, as evidence for its rollout.
struct report_rollout_event {
    Rollout::attempt_observed observed;
};

/// A connection to the endpoint was refused.
struct report_connection_refused {
    Common::endpoint_id endpoint;
};

/// Offers a request in flight to the peers because this node leaves.
struct offer_transfer {
    request_transfer transfer;
};

/// Tells the leaving peer that this node has accepted its request.
struct accept_transfer {
    Common::node_id peer;
    Common::request_id request;
};

/// Tells a peer that this node holds the request it asked for.
struct confirm_held {
    Common::node_id peer;
    Common::request_id request;
};

/// One decision or outcome, for the log and for explanations of a request.
struct request_event {
    std::string_view event;
    Common::request_id request;
    nlohmann::json fields;
};

using dispatch_action = std::variant<start_attempt, cancel_attempt, pause_attempt, resume_attempt, send_stream_head, send_tokens,
    send_stream_end, send_stream_failure, send_completion, send_service_answer, send_failure, send_redirect, locate_request,
    write_record, read_record, report_rollout_event, report_connection_refused, offer_transfer, accept_transfer, confirm_held, request_event>;

} // namespace Dispatch
