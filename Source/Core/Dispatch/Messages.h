#pragma once

/// @file
/// What other duties tell the dispatch duty, and what its decisions ask to be done.

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

/// A checked request of a client account.
struct caller_request {
    Common::caller_token token;
    Common::account_id account;
    Configuration::class_of_work work;
    bool isStreamed { false };
    nlohmann::json body; ///< Of model work: the chat completion request.
    std::string rawBody; ///< Of a service call: the body as sent.
    std::string path; ///< Of a service call: the path at the service.
    std::string idempotencyKey;
};

/// A caller that comes back for a request in flight.
struct caller_resume {
    Common::caller_token token;
    Common::account_id account;
    Common::request_id request;
    uint64_t afterPosition { 0 }; ///< Tokens that the caller already has.
    bool isStreamed { true };
};

/// Bytes of a streamed answer left this node, or its caller is gone.
struct caller_written {
    Common::caller_token token;
    size_t bytes { 0 };
    bool isAlive { true };
};

/// Tokens from an engine, in order.
struct attempt_tokens {
    Common::attempt_number attempt;
    std::vector<std::string> texts;
};

/// An attempt is over.
struct attempt_ended {
    Common::attempt_number attempt;
    Http::transfer_end end { Http::transfer_end::NotSent };
    int status { 0 };
    std::string body; ///< Of a service call or a refused request.
    std::string finishReason; ///< Of model work: set only when the engine said that it had finished.
};

enum class record_step {
    ClaimWritten,
    ClaimRead,
    OutcomeWritten,
    SettleRead, ///< Read back of a claim that was refused while its write might still have landed.
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
    double sharingNodes { 1 }; ///< Entry nodes that send to one of them, about.
};

struct load_published {
    Endpoints::load_report report;
};

/// A request in flight, whole, as a leaving node hands it to a peer.
struct request_transfer {
    Common::request_id request;
    Common::account_id account;
    Common::class_name work;
    nlohmann::json body;
    std::vector<std::string> tokens;
    bool isStreamed { true };
};

/// How the traffic of a service is shared among its versions.
struct shares_published {
    Rollout::publish_shares shares;
};

/// A leaving peer offers a request.
struct transfer_offered {
    Common::node_id from;
    request_transfer item;
};

/// A peer has taken a request that this node offered.
struct transfer_taken {
    Common::request_id request;
    std::string httpAddress; ///< Where its caller finds it now.
};

/// The node has begun to leave.
struct drain_begun { };

/// A peer looks for a request on behalf of its caller.
struct holder_query {
    Common::request_id request;
    Common::node_id asker;
};

/// Hand over what is still in flight.
struct handover_begun { };

struct dispatch_tick { };

using dispatch_message = std::variant<caller_request, caller_resume, caller_written, attempt_tokens, attempt_ended, record_reply,
    configuration_published, endpoints_published, load_published, shares_published, transfer_offered, transfer_taken, holder_query, drain_begun, handover_begun, dispatch_tick>;

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

struct send_stream_end {
    Common::caller_token token;
    Common::request_id request;
    Common::class_name work;
    std::string finishReason;
    uint64_t tokenCount { 0 };
};

/// Ends a stream whose request failed after its head was sent.
struct send_stream_failure {
    Common::caller_token token;
    Common::request_id request;
    Common::failure reason;
};

/// The whole answer of model work.
struct send_completion {
    Common::caller_token token;
    Common::request_id request;
    Common::class_name work;
    std::string text;
    std::string finishReason;
    uint64_t tokenCount { 0 };
};

/// The whole answer of a service call.
struct send_service_answer {
    Common::caller_token token;
    Common::request_id request;
    int status { 0 };
    std::string body;
    bool isReplay { false };
};

struct send_failure {
    Common::caller_token token;
    Common::request_id request;
    Common::failure reason;
};

/// The request goes on at a peer: ask there.
struct send_redirect {
    Common::caller_token token;
    Common::request_id request;
    std::string httpAddress;
    bool isStreamed { false };
};

/// A request that is not here; a peer may hold it.
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

/// Evidence for a rollout.
struct observe_attempt {
    Rollout::attempt_observed observed;
};

/// A connection to the endpoint was refused.
struct report_refused {
    Common::endpoint_id endpoint;
};

struct offer_transfer {
    request_transfer item;
};

/// Tells the peer that its request is taken here.
struct accept_transfer {
    Common::node_id peer;
    Common::request_id request;
};

/// Tells a peer that the request it looks for is here.
struct confirm_held {
    Common::node_id peer;
    Common::request_id request;
};

/// One decision or outcome, for logs and explanations.
struct note_event {
    std::string_view event;
    Common::request_id request;
    nlohmann::json fields;
};

using dispatch_action = std::variant<start_attempt, cancel_attempt, pause_attempt, resume_attempt, send_stream_head, send_tokens,
    send_stream_end, send_stream_failure, send_completion, send_service_answer, send_failure, send_redirect, locate_request,
    write_record, read_record, observe_attempt, report_refused, offer_transfer, accept_transfer, confirm_held, note_event>;

} // namespace Dispatch
