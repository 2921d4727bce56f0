#pragma once

/// @file
/// The entry duty: the thread that serves the HTTP requests of callers and operators.

#include "Common/Ring.h"
#include "Dispatch/DispatchDuty.h"
#include "Entry/OperatorApi.h"
#include "Http/Server.h"

#include <deque>
#include <functional>
#include <variant>

namespace Entry {

struct entry_settings {
    Http::server_settings http;
    Common::node_id node;
    Common::zone_name zone;
    Common::region_name region;
    std::string advertisedAddress; ///< "IP:port" of this node in the list of addresses for callers.
    std::string operatorKey; ///< Key of the operator API; when empty, the API rejects all requests.
    std::chrono::milliseconds addressTimeToLive { 5000 }; ///< How long callers may cache the list of addresses.
};

/// Actions of the dispatch duty on callers' connections, to be performed in order.
struct caller_actions {
    std::vector<Dispatch::caller_action> actions;
};

/// The response of another duty to an operator's request.
struct operator_answered {
    Common::caller_token token;
    operator_answer answer;
};

struct configuration_changed {
    std::shared_ptr<const Configuration::configuration> config;
};

struct members_changed {
    Membership::member_map members;
};

struct endpoints_changed {
    Endpoints::endpoint_list endpoints;
};

/// A peer holds a request that a caller wants to resume at this node.
struct request_located {
    Common::request_id request;
    std::string httpAddress;
};

/// The node has started to shut down: it reports not ready and omits itself from the list of addresses.
struct leaving_begun { };

using entry_message = std::variant<caller_actions, operator_answered, configuration_changed, members_changed, endpoints_changed,
    request_located, leaving_begun>;

/// Functions that send messages to other duties. Those with a result return whether the duty's ring accepted the message;
/// a request that a full ring rejects is answered with Overloaded. findHolder asks the peers which of them holds a request.
struct entry_outlets {
    std::function<bool(Dispatch::dispatch_message&&)> sendToDispatch;
    std::function<bool(Configuration::chain_message&&)> sendToConfiguration;
    std::function<bool(Audit::audit_message&&)> sendToAudit;
    std::function<void(const Common::request_id&)> findHolder;
};

class entry_duty {
public:
    entry_duty(entry_settings settings, entry_outlets outlets);

    /// Queues a message for the duty; may be called from any thread.
    /// @return whether the message was queued; false when the ring is full.
    bool submit(entry_message&& message);
    /// Serves requests until stop() is called. Throws std::exception when the address can't be bound.
    void run();
    /// Makes run() return; may be called from any thread.
    void stop();

private:
    /// A caller that waits until a peer reports that it holds the request.
    struct waiting_caller {
        Common::caller_token token;
        std::string query; ///< Query of the caller's URL, repeated in the redirect.
    };

    void receive(Http::incoming_request&& request);
    void receiveUnauthenticated(const Http::incoming_request& request);
    void receiveOperator(const Http::incoming_request& request);
    template <typename message_type>
    void forward(Common::caller_token token, Common::result<message_type>&& parsed);
    void handleChunkWritten(Common::caller_token token, bool isConnected);
    void reportWritten(Common::caller_token token, bool isConnected);
    void answerAddresses(Common::caller_token token);
    void answerFailure(Common::caller_token token, const Common::failure& reason, const Common::request_id& request = {});
    void answerJson(Common::caller_token token, int status, std::string body, const Common::request_id& request = {});
    void redirect(Common::caller_token token, const Common::request_id& request, const std::string& httpAddress, const std::string& query);
    void failUnlocatedRequest(const Common::request_id& request);
    void drain();

    void handle(caller_actions&& message);
    void handle(operator_answered&& message);
    void handle(configuration_changed&& message);
    void handle(members_changed&& message);
    void handle(endpoints_changed&& message);
    void handle(request_located&& message);
    void handle(leaving_begun&& message);

    void perform(Dispatch::send_stream_head& action);
    void perform(Dispatch::send_tokens& action);
    void perform(Dispatch::send_stream_end& action);
    void perform(Dispatch::send_stream_failure& action);
    void perform(Dispatch::send_completion& action);
    void perform(Dispatch::send_service_answer& action);
    void perform(Dispatch::send_failure& action);
    void perform(Dispatch::send_redirect& action);
    void perform(Dispatch::locate_request& action);

    /// Chunks of one stream that are queued but not yet written to the caller's connection.
    struct pending_writes {
        std::deque<size_t> textSizes; ///< Bytes of token text in each chunk, oldest chunk first.
        size_t bytesWrittenSinceReport { 0 };
    };

    entry_settings m_settings;
    entry_outlets m_outlets;
    Common::ring<entry_message> m_inbox;
    std::vector<entry_message> m_batch;
    indexed_configuration m_configuration;
    node_status m_status;
    std::unordered_map<uint64_t, pending_writes> m_pendingWrites; ///< By the token of the caller.
    std::unordered_map<Common::request_id, std::vector<waiting_caller>> m_awaitingLocation;
    std::unordered_map<uint64_t, std::string> m_resumeQueries; ///< By caller token: URL query of each resume request without a response yet.
    Http::server m_server;
};

} // namespace Entry
