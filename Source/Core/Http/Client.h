#pragma once

/// @file
/// Concurrent HTTP transfers of one thread over libcurl's multi interface.

#include "Http/Server.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Http {

/// How a transfer ended.
enum class transfer_end {
    Complete, ///< An answer arrived whole.
    NotSent, ///< Proven: no byte of the request left this machine.
    Cut, ///< The connection broke after bytes may have been sent.
    TimedOut, ///< The time limit passed after bytes may have been sent.
};

struct outgoing_request {
    std::string method { "GET" };
    std::string url;
    std::vector<header> headers;
    std::string body;
    std::chrono::milliseconds timeLimit { 30000 };
    std::chrono::milliseconds connectLimit { 1000 };
    /// libcurl repeats a request by itself when a reused connection turns out dead. A request that may
    /// not be repeated needs a connection of its own.
    bool mayRepeat { true };
    uint64_t maxAnswerBytes { uint64_t { 16 } * 1024 * 1024 };
};

struct transfer_answer {
    transfer_end end { transfer_end::NotSent };
    long status { 0 };
    std::string body; ///< Empty when a data handler took the bytes.
    uint64_t wireBytes { 0 }; ///< Heads and bodies of request and answer.
    std::string redirectUrl; ///< Where a redirect points; it is not followed.
};

using transfer_id = uint64_t;

/// Transfers of one thread; only wake() may be called from another.
class client {
public:
    using data_handler = std::function<void(long status, std::string_view bytes)>;
    using end_handler = std::function<void(transfer_answer&&)>;

    client();
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Starts a transfer.
    /// @param request what to send.
    /// @param onEnd called once, from poll(), unless the transfer is cancelled.
    /// @param onData when set, receives the body as it arrives.
    /// @return its id.
    transfer_id start(outgoing_request request, end_handler onEnd, data_handler onData = {});
    /// Ends a transfer and closes its connection; its handlers are not called again.
    void cancel(transfer_id id);
    /// Stops reading a transfer, so that its sender is slowed by TCP.
    void pause(transfer_id id);
    /// Reads a paused transfer on.
    void resume(transfer_id id);
    /// Waits for network events or wake(), then runs the handlers that are due.
    void poll(std::chrono::milliseconds longest);
    /// Ends the present poll() early.
    void wake();
    /// @return the transfers under way.
    size_t active() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace Http
