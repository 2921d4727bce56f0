#include "Faults/SoakEndpoint.h"

#include <algorithm>

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>
#include <poll.h>

namespace Faults {

namespace {

    namespace http = boost::beast::http;
    using boost::asio::ip::tcp;
    using boost::system::error_code;

    constexpr int pollMilliseconds = 20;
    constexpr milliseconds processingTime { 15 };
    constexpr milliseconds eventInterval { 8 };
    constexpr int slowFactor = 12;
    /// How long a full endpoint wants no requests.
    constexpr milliseconds backoffTime { 1500 };
    /// Longer than the callers' longest wait (see SoakCaller.cpp).
    constexpr milliseconds unresponsiveTime { 6000 };

    bool isReadable(tcp::socket& socket, int milliseconds)
    {
        pollfd descriptor { socket.native_handle(), POLLIN, 0 };
        return poll(&descriptor, 1, milliseconds) > 0;
    }

    bool send(tcp::socket& socket, const std::string& bytes)
    {
        error_code error;
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
        return !error;
    }

    void reset(tcp::socket& socket)
    {
        error_code ignored;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    std::string responseHead(int status, const std::string& id, bool isSealed, const std::string& moreHeaders)
    {
        const std::string seal = isSealed ? "X-Filbertreel-Server-Seal: s." + id + "\r\n" : "";
        return fmt::format("HTTP/1.1 {} Status\r\nX-Filbertreel-Attempt-Id: {}\r\n{}{}\r\n", status, id, seal, moreHeaders);
    }

    std::string contentLengthHeader(const std::string& body)
    {
        return fmt::format("Content-Length: {}\r\n", body.size());
    }

    std::string notRunAnswer(int status, const std::string& id, const std::string& moreHeaders = "")
    {
        return responseHead(status, id, false, moreHeaders + "X-Filbertreel-Not-Executed: 1\r\nContent-Length: 0\r\n");
    }

    std::string chunk(const std::string& bytes)
    {
        return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
    }

    std::string plainAnswer(int status, const std::string& id, const std::string& body, const std::string& moreHeaders = "")
    {
        return responseHead(status, id, true, moreHeaders + contentLengthHeader(body)) + body;
    }

    template <typename message>
    std::string headerValue(const message& request, const char* name)
    {
        const auto found = request.find(name);
        return found == request.end() ? std::string() : std::string(found->value());
    }

    uint32_t parseNumber(const std::string& text)
    {
        return text.empty() ? 0 : static_cast<uint32_t>(std::stoul(text));
    }

} // namespace

soak_endpoint::soak_endpoint(std::string name, promise_checker& checker)
    : m_checker(checker)
    , m_name(std::move(name))
    , m_acceptor(m_context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    , m_port(m_acceptor.local_endpoint().port())
    , m_thread([this] { accept(); })
{
}

soak_endpoint::~soak_endpoint()
{
    m_isStopping = true;
    m_thread.join();
    for (const auto& item : m_connections)
        item->thread.join();
}

std::string soak_endpoint::name() const
{
    const std::lock_guard guard(m_mutex);
    return m_name;
}

void soak_endpoint::rename(const std::string& name)
{
    const std::lock_guard guard(m_mutex);
    m_name = name;
}

void soak_endpoint::accept()
{
    m_acceptor.non_blocking(true);
    while (!m_isStopping) {
        std::erase_if(m_connections, [](const std::unique_ptr<connection>& item) {
            if (!item->isDone)
                return false;
            item->thread.join();
            return true;
        });
        pollfd descriptor { m_acceptor.native_handle(), POLLIN, 0 };
        if (poll(&descriptor, 1, pollMilliseconds) <= 0)
            continue;
        error_code error;
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (error)
            continue;
        socket.non_blocking(false);
        socket.set_option(tcp::no_delay(true), error);
        auto item = std::make_unique<connection>();
        connection& started = *item;
        started.thread = std::thread([this, &started, socket = std::move(socket)]() mutable {
            serve(std::move(socket));
            started.isDone = true;
        });
        m_connections.push_back(std::move(item));
    }
}

void soak_endpoint::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    while (!m_isStopping) {
        http::request_parser<http::string_body> parser;
        parser.eager(true);
        while (!parser.is_done()) {
            if (m_isStopping || m_behavior == endpoint_behavior::Down)
                return reset(socket);
            if (!isReadable(socket, pollMilliseconds))
                continue;
            error_code error;
            http::read_some(socket, buffer, parser, error);
            if (error)
                return;
        }
        if (!answer(socket, parser.get()))
            return;
    }
}

observed_run soak_endpoint::describe(const request_message& request, const std::string& id) const
{
    observed_run run;
    run.id = id;
    run.endpoint = name();
    run.target = std::string(request.target());
    run.body = request.body();
    run.account = headerValue(request, "X-Filbertreel-Tenant");
    run.hasKey = request.find("Authorization") != request.end();
    run.timeBudgetMs = static_cast<int>(parseNumber(headerValue(request, "X-Filbertreel-Time-Budget")));
    run.at = std::chrono::steady_clock::now();
    return run;
}

bool soak_endpoint::answer(tcp::socket& socket, const request_message& request)
{
    const std::string id = headerValue(request, "X-Filbertreel-Attempt-Id");
    m_checker.recordArrival(id, std::chrono::steady_clock::now());
    constexpr int misdirectedRequest = 421;
    if (headerValue(request, "X-Filbertreel-Expect-Instance") != name())
        return send(socket, notRunAnswer(misdirectedRequest, id));
    m_checker.recordRequestReceived(id, name(), std::chrono::steady_clock::now());
    const answer_to answered = describeAnswer(id);
    if (m_behavior == endpoint_behavior::Full)
        return refuseAsFull(socket, answered);
    m_checker.recordRun(describe(request, id));
    return run(socket, request, answered);
}

answer_to soak_endpoint::describeAnswer(const std::string& id)
{
    if (!m_isLeaving)
        return { id, {} };
    m_checker.recordLeavingStated(id, name());
    return { id, "Server-Leaving: 1\r\n" };
}

bool soak_endpoint::refuseAsFull(tcp::socket& socket, const answer_to& answered)
{
    constexpr int serviceUnavailable = 503;
    const std::string retryAfter = fmt::format("Retry-After: {}\r\n", std::chrono::duration<double>(backoffTime).count());
    observed_backoff backoff { answered.id, name(), backoffTime, std::chrono::steady_clock::now(), {} };
    const bool isSent = send(socket, notRunAnswer(serviceUnavailable, answered.id, answered.declaredLines + retryAfter));
    backoff.sendEnded = std::chrono::steady_clock::now();
    if (isSent)
        m_checker.recordBackoffStated(backoff);
    return isSent;
}

bool soak_endpoint::run(tcp::socket& socket, const request_message& request, const answer_to& answered)
{
    const std::string& id = answered.id;
    const endpoint_behavior behavior = m_behavior;
    const bool isOdd = ++m_runs % 2 == 1;
    const milliseconds time = behavior == endpoint_behavior::Slow ? processingTime * slowFactor : processingTime;
    if (!waitWhileOpen(socket, behavior == endpoint_behavior::Unresponsive ? unresponsiveTime : time))
        return false;
    if (behavior == endpoint_behavior::Malformed)
        return send(socket, "\x01\x02 no answer at all\r\n\r\n") && false;
    if (behavior == endpoint_behavior::Failing && isOdd)
        return send(socket, plainAnswer(500, id, "failed", answered.declaredLines));
    if (behavior == endpoint_behavior::WrongId && isOdd && !send(socket, plainAnswer(200, id + "-other", answerBody(id + "-other"))))
        return false;
    const endpoint_behavior effectiveBehavior = behavior == endpoint_behavior::Truncating && !isOdd ? endpoint_behavior::Healthy : behavior;
    if (isStream(kindOf({ request.target().data(), request.target().size() })))
        return sendStream(socket, answered, parseNumber(headerValue(request, "Last-Event-Id")), effectiveBehavior);
    return sendPlain(socket, answered, effectiveBehavior);
}

bool soak_endpoint::sendPlain(tcp::socket& socket, const answer_to& answered, endpoint_behavior behavior)
{
    const std::string response = plainAnswer(200, answered.id, answerBody(answered.id), answered.declaredLines);
    if (behavior == endpoint_behavior::Truncating)
        return send(socket, response.substr(0, response.size() - 1)) && false;
    if (behavior == endpoint_behavior::ExtraAnswer)
        return send(socket, response + response);
    return send(socket, response);
}

bool soak_endpoint::sendStream(tcp::socket& socket, const answer_to& answered, uint32_t after, endpoint_behavior behavior)
{
    const std::string& id = answered.id;
    if (!send(socket, responseHead(200, id, true, answered.declaredLines + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")))
        return false;
    const uint32_t count = eventCount(id);
    for (uint32_t number = after + 1; number <= count; ++number) {
        const std::string event = eventBytes(id, number);
        // Break the stream in the middle of an event.
        if (behavior == endpoint_behavior::Truncating && number > count / 2)
            return send(socket, chunk(event.substr(0, event.size() / 2))) && false;
        if (!send(socket, chunk(event)))
            return false;
        if (!waitWhileOpen(socket, behavior == endpoint_behavior::Slow ? eventInterval * slowFactor : eventInterval))
            return false;
    }
    return send(socket, "0\r\n\r\n");
}

/// @return false when the peer closed the connection, the endpoint is stopping or its behavior is Down.
bool soak_endpoint::waitWhileOpen(tcp::socket& socket, milliseconds time) const
{
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until) {
        if (m_isStopping || m_behavior == endpoint_behavior::Down) {
            reset(socket);
            return false;
        }
        const auto remaining = std::chrono::duration_cast<milliseconds>(until - std::chrono::steady_clock::now()).count() + 1;
        // The peer sends nothing while it waits for an answer, so a readable socket means that it has closed.
        if (isReadable(socket, static_cast<int>(std::min<int64_t>(remaining, pollMilliseconds))))
            return false;
    }
    return true;
}

} // namespace Faults
