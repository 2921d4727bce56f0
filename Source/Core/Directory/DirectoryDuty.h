#pragma once

/// @file
/// The directory duty: the thread that serves the addresses of nodes to callers, this node's readiness to the platform,
/// and the metrics.

#include "Fleet/Directory.h"
#include "Http/Server.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <variant>

namespace Directory {

/// A caller's request for addresses of nodes to connect to.
struct address_question {
    Common::zone_name zone; ///< Of the caller; empty when not stated.
    Common::region_name region; ///< Of the caller; empty when not stated.
};

/// The platform's request for whether this node accepts work.
struct readiness_question { };

/// A request for the metrics.
struct metrics_question { };

using question = std::variant<address_question, readiness_question, metrics_question>;

/// Decodes requests and encodes answers; supplied by the platform adapter.
struct question_format {
    /// @return the decoded request, or nothing when this duty does not serve its path.
    std::optional<question> (*read)(const Http::incoming_request& request) { nullptr };
    /// @return the body of the answer to an address question.
    std::string (*writeAddresses)(const std::vector<std::string>& addresses, std::chrono::milliseconds timeToLive) { nullptr };
};

struct directory_settings {
    std::vector<std::string> listen; ///< IP addresses and ports to listen on.
    std::chrono::milliseconds addressLife { 2000 }; ///< Time to live of an answer: how long callers may cache it.
    question_format format;
    size_t maxConnections { 4096 }; ///< At each address.
};

class directory_duty {
public:
    explicit directory_duty(directory_settings settings);

    /// Replaces the nodes whose addresses are served; may be called from any thread.
    void setNodes(const Fleet::node_map& nodes);
    /// Sets whether this node accepts work; may be called from any thread.
    void setReady(bool isReady);
    /// Serves requests until stop(). Throws std::exception when an address cannot be bound.
    void run();
    /// Makes run() return; may be called from any thread.
    void stop();

private:
    void answer(Http::incoming_request&& request);
    void answerAddresses(Common::caller_token token, const address_question& callerLocation);

    directory_settings m_settings;
    std::atomic<bool> m_isReady { false };
    std::mutex m_mutex;
    Fleet::node_map m_nodes;
    Http::server m_server;
};

} // namespace Directory
