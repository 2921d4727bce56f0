#pragma once

/// @file
/// Concurrent HTTP transfers on one thread, using libcurl's multi interface.

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
    Complete, ///< The complete response was received; its status may still be an error.
    NotSent, ///< Certain: no byte of the request left this machine, so it is safe to retry.
    Cut, ///< The connection failed after bytes may have been sent.
    TimedOut, ///< The time limit passed after bytes may have been sent.
};

struct outgoing_request {
    std::string method { "GET" };
    std::string url;
    std::vector<header> headers;
    std::string body;
    std::chrono::milliseconds timeLimit { 30000 };
    /// If above zero, the transfer also ends as timed out when no byte of the response arrives for this long; the time limit
    /// then needs to leave time for the largest response on the slowest link only.
    std::chrono::milliseconds stallLimit { 0 };
    std::chrono::milliseconds connectLimit { 1000 };
    /// libcurl resends a request on its own when a reused connection turns out to be closed. A request that must not be
    /// sent twice gets a new connection.
    bool mayRepeat { true };
    /// The response doesn't say which request it belongs to, so a late copy of an earlier one on a shared connection would be
    /// taken for it. Off for servers that may answer twice.
    bool mayShareConnection { true };
    uint64_t maxAnswerBytes { uint64_t { 16 } * 1024 * 1024 };
};

struct transfer_answer {
    transfer_end end { transfer_end::NotSent };
    long status { 0 };
    std::vector<header> headers; ///< Of the final response, without trailers.
    std::string body; ///< Empty when the transfer has a data handler.
    uint64_t wireBytes { 0 }; ///< Bytes of the headers and bodies of request and response.
    std::string redirectUrl; ///< Target of a redirect response, otherwise empty; redirects are not followed.
};

using transfer_id = uint64_t;

/// An HTTP client for one thread; only wake() may be called from other threads.
class client {
public:
    using data_handler = std::function<void(long status, std::string_view bytes)>;
    using end_handler = std::function<void(transfer_answer&&)>;

    client();
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Starts a transfer, which progresses in poll().
    /// @param request the request to send.
    /// @param onEnd called once from poll(), unless the transfer is cancelled.
    /// @param onData when set, receives the parts of the body as they arrive.
    /// @return the id of the transfer.
    transfer_id start(outgoing_request request, end_handler onEnd, data_handler onData = {});
    /// Aborts a transfer and closes its connection; its handlers are not called again.
    void cancel(transfer_id id);
    /// Stops reading a transfer's response, so that TCP flow control slows down the sender.
    void pause(transfer_id id);
    /// Continues to read a paused transfer.
    void resume(transfer_id id);
    /// Waits for network events or wake(), then calls the handlers of transfers that progressed.
    /// @param maxWait maximum time to wait.
    void poll(std::chrono::milliseconds maxWait);
    /// Makes the current or next poll() return early.
    void wake();
    /// @return number of transfers in progress, paused ones included.
    size_t active() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace Http
