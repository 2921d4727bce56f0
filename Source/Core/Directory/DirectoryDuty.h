#pragma once

/// @file
/// The directory duty: the thread that tells callers where to connect, the platform whether this node is ready, and
/// whoever asks the metrics.

#include "Fleet/Directory.h"
#include "Http/Server.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <variant>

namespace Directory {

/// A caller asks where to connect.
struct address_question {
    Common::zone_name zone;
    Common::region_name region;
};

/// The platform asks whether this node takes work.
struct readiness_question { };

/// Someone asks for the metrics.
struct metrics_question { };

using question = std::variant<address_question, readiness_question, metrics_question>;

/// How questions and answers are written; supplied by the adapter.
struct question_format {
    /// @return the question, or nothing when it is none that this duty answers.
    std::optional<question> (*read)(const Http::incoming_request& request) { nullptr };
    /// @return the body of the answer to an address question.
    std::string (*writeAddresses)(const std::vector<std::string>& addresses, std::chrono::milliseconds life) { nullptr };
};

struct directory_settings {
    std::vector<std::string> listen; ///< IP numbers and ports.
    std::chrono::milliseconds addressLife { 2000 }; ///< How long callers may keep an answer.
    question_format format;
};

class directory_duty {
public:
    explicit directory_duty(directory_settings settings);

    /// Tells of the nodes; may be called from any thread.
    void setNodes(const Fleet::node_map& nodes);
    /// Tells whether this node takes work; may be called from any thread.
    void setReady(bool isReady);
    /// Serves until stop(). Throws std::exception when an address can't be bound.
    void run();
    void stop();

private:
    void answer(Http::incoming_request&& request);
    void answerAddresses(Common::caller_token token, const address_question& asked);

    directory_settings m_settings;
    std::atomic<bool> m_isReady { false };
    std::mutex m_mutex;
    Fleet::node_map m_nodes;
    Http::server m_server;
};

} // namespace Directory
