#pragma once

/// @file
/// The entry duty: the thread that serves callers and operators.

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
    std::string advertisedAddress; ///< IP number and port that callers are told.
    std::string operatorKey;
    std::chrono::milliseconds addressTimeToLive { 5000 };
};

/// Answers from the dispatch duty, in order.
struct caller_actions {
    std::vector<Dispatch::caller_action> actions;
};

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

/// A peer holds a request that a caller asked for here.
struct request_located {
    Common::request_id request;
    std::string httpAddress;
};

struct leaving_begun { };

using entry_message = std::variant<caller_actions, operator_answered, configuration_changed, members_changed, endpoints_changed,
    request_located, leaving_begun>;

/// Where requests go. Each function returns whether the duty's ring took the message.
struct entry_outlets {
    std::function<bool(Dispatch::dispatch_message&&)> tellDispatch;
    std::function<bool(Configuration::chain_message&&)> tellConfiguration;
    std::function<bool(Audit::audit_message&&)> tellAudit;
    std::function<void(const Common::request_id&)> findHolder;
};

class entry_duty {
public:
    entry_duty(entry_settings settings, entry_outlets outlets);

    /// Hands a message over; may be called from any thread.
    /// @return whether the ring took it.
    bool submit(entry_message&& message);
    /// Serves until stop(). Throws std::exception when the address can't be bound.
    void run();
    void stop();

private:
    struct searching_caller {
        Common::caller_token token;
        std::string query;
    };

    void receive(Http::incoming_request&& request);
    void receivePlain(const Http::incoming_request& request);
    void receiveOperator(const Http::incoming_request& request);
    template <typename message_type>
    void forward(Common::caller_token token, Common::result<message_type>&& parsed);
    void observeWrite(Common::caller_token token, bool isAlive);
    void reportWritten(Common::caller_token token, bool isAlive);
    void answerAddresses(Common::caller_token token);
    void answerFailure(Common::caller_token token, const Common::failure& reason, const Common::request_id& request = {});
    void answerJson(Common::caller_token token, int status, std::string body, const Common::request_id& request = {});
    void redirect(Common::caller_token token, const Common::request_id& request, const std::string& httpAddress, const std::string& query);
    void giveUpSearch(const Common::request_id& request);
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

    /// Texts of one stream that are on their way to the caller.
    struct unwritten_texts {
        std::deque<size_t> sizes;
        size_t writtenSinceReport { 0 };
    };

    entry_settings m_settings;
    entry_outlets m_outlets;
    Common::ring<entry_message> m_inbox;
    std::vector<entry_message> m_batch;
    caller_directory m_directory;
    node_status m_status;
    std::unordered_map<uint64_t, unwritten_texts> m_unwritten;
    std::unordered_map<Common::request_id, std::vector<searching_caller>> m_searching;
    std::unordered_map<uint64_t, std::string> m_resumeQueries;
    Http::server m_server;
};

} // namespace Entry
