#include "Faults/SoakCaller.h"

#include "Platform/RunningNode.h"
#include "Platform/ScriptedEndpoint.h"

#include <array>
#include <thread>

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>
#include <poll.h>

namespace Faults {

namespace {

    namespace http = boost::beast::http;
    using boost::asio::ip::tcp;
    using boost::system::error_code;
    using clock = std::chrono::steady_clock;

    constexpr int pollMilliseconds = 10;
    constexpr uint32_t requestsPerConnection = 30;
    constexpr milliseconds addressTtl { 1000 };
    constexpr milliseconds failurePause { 50 };
    constexpr milliseconds maxRetryAfter { 300 };
    constexpr int minTimeBudgetMs = 1500;
    constexpr uint32_t timeBudgetSpreadMs = 1500;
    /// A caller waits this much longer than its time budget, to receive an answer that is already on its way.
    constexpr milliseconds extraWait { 1000 };
    constexpr uint32_t abandonOneIn = 25;
    constexpr uint32_t minAbandonMs = 5;
    constexpr uint32_t abandonSpreadMs = 80;
    constexpr uint32_t temporaryKeyOneIn = 4;

    struct caller_state {
        caller_settings settings;
        promise_checker& checker;
        Common::random_source random;
        boost::asio::io_context context;
        std::optional<tcp::socket> socket;
        int node { 0 };
        uint32_t sentOnSocket { 0 };
        uint64_t requestCount { 0 };
        std::vector<node_ports> advertisedNodes; ///< Listed in the last directory answer.
        clock::time_point refreshedAt;
    };

    const node_ports& pickNode(caller_state& state, const std::vector<node_ports>& nodes)
    {
        return nodes[Common::uniformBelow(state.random, static_cast<uint32_t>(nodes.size()))];
    }

    /// Queries a node's directory for the addresses to use; keeps the previous ones when it doesn't answer or lists none.
    void refreshAddresses(caller_state& state)
    {
        if (clock::now() < state.refreshedAt + addressTtl && !state.advertisedNodes.empty())
            return;
        const std::string answer = PlatformTests::ask(pickNode(state, state.settings.nodes).directoryPort, "/v1/resolve?zone=z&region=r");
        if (PlatformTests::statusOf(answer) != 200)
            return;
        std::vector<node_ports> advertisedNodes;
        for (const node_ports& node : state.settings.nodes) {
            if (answer.find(fmt::format("127.0.0.1:{}\"", node.callerPort)) != std::string::npos)
                advertisedNodes.push_back(node);
        }
        if (advertisedNodes.empty())
            return;
        state.advertisedNodes = std::move(advertisedNodes);
        state.refreshedAt = clock::now();
    }

    bool connect(caller_state& state)
    {
        refreshAddresses(state);
        if (state.advertisedNodes.empty())
            return false;
        const node_ports node = pickNode(state, state.advertisedNodes);
        state.socket.emplace(state.context);
        error_code error;
        state.socket->connect({ boost::asio::ip::make_address("127.0.0.1"), node.proxyPort }, error);
        if (error) {
            state.socket.reset();
            return false;
        }
        state.node = node.number;
        state.sentOnSocket = 0;
        return true;
    }

    work_request makeRequest(caller_state& state)
    {
        work_request request;
        request.id = fmt::format("c{}-{}", state.settings.number, ++state.requestCount);
        request.kind = static_cast<work_kind>(Common::uniformBelow(state.random, workKindCount));
        request.timeBudgetMs = minTimeBudgetMs + static_cast<int>(Common::uniformBelow(state.random, timeBudgetSpreadMs));
        request.key = permanentKey;
        if (state.settings.usesLimitedKey)
            request.key = limitedKey;
        else if (Common::uniformBelow(state.random, temporaryKeyOneIn) == 0)
            request.key = temporaryKey(state.settings.newestCatalogVersion() - Common::uniformBelow(state.random, 3));
        return request;
    }

    template <typename message>
    std::string headerValue(const message& answer, const char* name)
    {
        const auto found = answer.find(name);
        return found == answer.end() ? std::string() : std::string(found->value());
    }

    struct received_answer {
        observed_answer answer;
        bool closesConnection { true };
        milliseconds retryAfter { 0 };
    };

    template <typename parser_type>
    void copyParsed(const parser_type& parser, received_answer& received)
    {
        constexpr double millisecondsPerSecond = 1000;
        const auto& message = parser.get();
        received.answer.status = message.result_int();
        received.answer.id = headerValue(message, "X-Filbertreel-Attempt-Id");
        received.answer.isSealed = !headerValue(message, "X-Filbertreel-Server-Seal").empty();
        received.answer.saysLeaving = !headerValue(message, "Server-Leaving").empty();
        received.answer.body = message.body();
        received.closesConnection = !message.keep_alive();
        const std::string retryAfter = headerValue(message, "Retry-After");
        if (!retryAfter.empty())
            received.retryAfter = milliseconds(static_cast<int64_t>(std::stod(retryAfter) * millisecondsPerSecond));
    }

    /// Reads until the answer is complete, the connection breaks or the time is up.
    /// @param atTimeout the end to record when the time is up.
    received_answer receive(tcp::socket& socket, clock::time_point deadline, observed_answer::ending atTimeout)
    {
        http::response_parser<http::string_body> parser;
        parser.eager(true);
        received_answer received;
        received.answer.end = atTimeout;
        std::string unread;
        std::array<char, 8192> buffer {};
        while (clock::now() < deadline) {
            pollfd descriptor { socket.native_handle(), POLLIN, 0 };
            if (poll(&descriptor, 1, pollMilliseconds) <= 0)
                continue;
            error_code error;
            unread.append(buffer.data(), socket.read_some(boost::asio::buffer(buffer), error));
            if (error) {
                received.answer.end = observed_answer::ending::Broken;
                break;
            }
            const size_t used = parser.put(boost::asio::buffer(unread), error);
            unread.erase(0, used);
            if (error && error != http::error::need_more) {
                received.answer.end = observed_answer::ending::Broken;
                break;
            }
            if (!parser.is_done())
                continue;
            received.answer.end = observed_answer::ending::Complete;
            break;
        }
        if (parser.is_header_done())
            copyParsed(parser, received);
        return received;
    }

    /// @return whether the socket has neither unread bytes nor an end of connection.
    bool isIdle(tcp::socket& socket)
    {
        pollfd descriptor { socket.native_handle(), POLLIN, 0 };
        return poll(&descriptor, 1, 0) <= 0;
    }

    bool hasUnexpectedBytes(tcp::socket& socket)
    {
        std::array<char, 1> byte {};
        error_code error;
        return !isIdle(socket) && socket.read_some(boost::asio::buffer(byte), error) > 0;
    }

    /// Sends one request on the open connection and records its answer.
    void exchange(caller_state& state)
    {
        const work_request request = makeRequest(state);
        const auto sentAt = clock::now();
        state.checker.recordRequestSent(request, state.node, sentAt);
        ++state.sentOnSocket;
        error_code error;
        boost::asio::write(*state.socket, boost::asio::buffer(serializeRequest(request)), error);
        received_answer received;
        if (!error) {
            const bool isAbandoned = Common::uniformBelow(state.random, abandonOneIn) == 0;
            const auto waitTime = isAbandoned ? milliseconds(minAbandonMs + Common::uniformBelow(state.random, abandonSpreadMs)) : milliseconds(request.timeBudgetMs) + extraWait;
            received = receive(*state.socket, sentAt + waitTime, isAbandoned ? observed_answer::ending::ClosedByCaller : observed_answer::ending::TimedOut);
        }
        state.checker.recordAnswer(request.id, received.answer, clock::now());
        if (received.answer.end != observed_answer::ending::Complete || received.closesConnection || state.sentOnSocket >= requestsPerConnection)
            state.socket.reset();
        if (received.answer.status == 0)
            std::this_thread::sleep_for(failurePause);
        if (received.retryAfter.count() > 0)
            std::this_thread::sleep_for(std::min(received.retryAfter, maxRetryAfter));
    }

} // namespace

void runCaller(const caller_settings& settings, promise_checker& checker)
{
    constexpr uint32_t pauseSpreadMs = 20;
    caller_state state { settings, checker, Common::random_source(settings.seed, static_cast<uint64_t>(settings.number)), {}, {}, 0, 0, 0, {}, {} };
    while (!settings.shouldStop()) {
        if (state.socket && hasUnexpectedBytes(*state.socket))
            checker.recordBreach("MIXED", fmt::format("caller {} received bytes from node {} without an outstanding request", settings.number, state.node));
        if (state.socket && !isIdle(*state.socket))
            state.socket.reset();
        if (!state.socket && !connect(state)) {
            std::this_thread::sleep_for(failurePause);
            continue;
        }
        exchange(state);
        std::this_thread::sleep_for(milliseconds(Common::uniformBelow(state.random, pauseSpreadMs)));
    }
}

} // namespace Faults
