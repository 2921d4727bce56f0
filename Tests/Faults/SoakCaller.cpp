#include "Faults/SoakCaller.h"

#include "Platform/RunningNode.h"

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
    constexpr milliseconds addressLife { 1000 };
    constexpr milliseconds pauseAfterFailure { 50 };
    constexpr milliseconds longestRetryAfter { 300 };
    constexpr int shortestBudgetMs = 1500;
    constexpr uint32_t budgetSpreadMs = 1500;
    /// A caller waits a little longer than it says, to see an answer that is on its way.
    constexpr milliseconds patience { 1000 };
    constexpr uint32_t leavesOneIn = 25;
    constexpr uint32_t shortestStayMs = 5;
    constexpr uint32_t staySpreadMs = 80;
    constexpr uint32_t passingKeyOneIn = 4;

    struct caller_state {
        caller_settings settings;
        promise_checker& checker;
        Common::random_source random;
        boost::asio::io_context context;
        std::optional<tcp::socket> socket;
        int node { 0 };
        uint32_t sentOnSocket { 0 };
        uint64_t count { 0 };
        std::vector<node_doors> offered; ///< By the directory.
        clock::time_point askedAt;
    };

    const node_doors& pick(caller_state& state, const std::vector<node_doors>& nodes)
    {
        return nodes[Common::uniformBelow(state.random, static_cast<uint32_t>(nodes.size()))];
    }

    /// Asks a node's directory which addresses to use; keeps the old ones while none answers.
    void renewAddresses(caller_state& state)
    {
        if (clock::now() < state.askedAt + addressLife && !state.offered.empty())
            return;
        const std::string answer = PlatformTests::ask(pick(state, state.settings.nodes).directory, "/v1/resolve?zone=z&region=r");
        if (PlatformTests::statusOf(answer) != 200)
            return;
        std::vector<node_doors> offered;
        for (const node_doors& node : state.settings.nodes) {
            if (answer.find(fmt::format("127.0.0.1:{}\"", node.callers)) != std::string::npos)
                offered.push_back(node);
        }
        if (offered.empty())
            return;
        state.offered = std::move(offered);
        state.askedAt = clock::now();
    }

    bool connect(caller_state& state)
    {
        renewAddresses(state);
        if (state.offered.empty())
            return false;
        const node_doors node = pick(state, state.offered);
        state.socket.emplace(state.context);
        error_code error;
        state.socket->connect({ boost::asio::ip::make_address("127.0.0.1"), node.proxied }, error);
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
        request.id = fmt::format("c{}-{}", state.settings.number, ++state.count);
        request.kind = static_cast<work_kind>(Common::uniformBelow(state.random, workKindCount));
        request.timeBudgetMs = shortestBudgetMs + static_cast<int>(Common::uniformBelow(state.random, budgetSpreadMs));
        request.key = lastingKey;
        if (state.settings.usesLimitedKey)
            request.key = limitedKey;
        else if (Common::uniformBelow(state.random, passingKeyOneIn) == 0)
            request.key = passingKey(state.settings.newestVersion() - Common::uniformBelow(state.random, 3));
        return request;
    }

    template <typename message>
    std::string valueOf(const message& answer, const char* name)
    {
        const auto found = answer.find(name);
        return found == answer.end() ? std::string() : std::string(found->value());
    }

    struct received_answer {
        answer_seen seen;
        bool closes { true };
        milliseconds retryAfter { 0 };
    };

    template <typename parser_type>
    void takeParsed(const parser_type& parser, received_answer& received)
    {
        constexpr double millisecondsPerSecond = 1000;
        const auto& message = parser.get();
        received.seen.status = message.result_int();
        received.seen.id = valueOf(message, "X-Filbertreel-Attempt-Id");
        received.seen.isSealed = !valueOf(message, "X-Filbertreel-Server-Seal").empty();
        received.seen.body = message.body();
        received.closes = !message.keep_alive();
        const std::string retryAfter = valueOf(message, "Retry-After");
        if (!retryAfter.empty())
            received.retryAfter = milliseconds(static_cast<int64_t>(std::stod(retryAfter) * millisecondsPerSecond));
    }

    /// Reads until the answer is complete, the connection ends or the time is over.
    received_answer receive(tcp::socket& socket, clock::time_point until, answer_seen::ending atTimeout)
    {
        http::response_parser<http::string_body> parser;
        parser.eager(true);
        received_answer received;
        received.seen.end = atTimeout;
        std::string unread;
        std::array<char, 8192> buffer {};
        while (clock::now() < until) {
            pollfd waiting { socket.native_handle(), POLLIN, 0 };
            if (poll(&waiting, 1, pollMilliseconds) <= 0)
                continue;
            error_code error;
            unread.append(buffer.data(), socket.read_some(boost::asio::buffer(buffer), error));
            if (error) {
                received.seen.end = answer_seen::ending::Broken;
                break;
            }
            const size_t used = parser.put(boost::asio::buffer(unread), error);
            unread.erase(0, used);
            if (error && error != http::error::need_more) {
                received.seen.end = answer_seen::ending::Broken;
                break;
            }
            if (!parser.is_done())
                continue;
            received.seen.end = answer_seen::ending::Complete;
            break;
        }
        if (parser.is_header_done())
            takeParsed(parser, received);
        return received;
    }

    /// Bytes on a connection with no request waiting belong to nothing.
    bool isQuiet(tcp::socket& socket)
    {
        pollfd waiting { socket.native_handle(), POLLIN, 0 };
        return poll(&waiting, 1, 0) <= 0;
    }

    bool hasStrayBytes(tcp::socket& socket)
    {
        std::array<char, 1> byte {};
        error_code error;
        return !isQuiet(socket) && socket.read_some(boost::asio::buffer(byte), error) > 0;
    }

    /// One request on the open connection.
    void exchange(caller_state& state)
    {
        const work_request request = makeRequest(state);
        const auto sentAt = clock::now();
        state.checker.noteSent(request, state.node, sentAt);
        ++state.sentOnSocket;
        error_code error;
        boost::asio::write(*state.socket, boost::asio::buffer(writeRequest(request)), error);
        received_answer received;
        if (!error) {
            const bool leaves = Common::uniformBelow(state.random, leavesOneIn) == 0;
            const auto stay = leaves ? milliseconds(shortestStayMs + Common::uniformBelow(state.random, staySpreadMs)) : milliseconds(request.timeBudgetMs) + patience;
            received = receive(*state.socket, sentAt + stay, leaves ? answer_seen::ending::Left : answer_seen::ending::TimedOut);
        }
        state.checker.noteAnswer(request.id, received.seen, clock::now());
        if (received.seen.end != answer_seen::ending::Complete || received.closes || state.sentOnSocket >= requestsPerConnection)
            state.socket.reset();
        if (received.seen.status == 0)
            std::this_thread::sleep_for(pauseAfterFailure);
        if (received.retryAfter.count() > 0)
            std::this_thread::sleep_for(std::min(received.retryAfter, longestRetryAfter));
    }

} // namespace

void runCaller(const caller_settings& settings, promise_checker& checker)
{
    constexpr uint32_t pauseSpreadMs = 20;
    caller_state state { settings, checker, Common::random_source(settings.seed, static_cast<uint64_t>(settings.number)), {}, {}, 0, 0, 0, {}, {} };
    while (!settings.isOver()) {
        if (state.socket && hasStrayBytes(*state.socket))
            checker.noteBreach("MIXED", fmt::format("bytes for caller {} from node {} with no request waiting", settings.number, state.node));
        if (state.socket && !isQuiet(*state.socket))
            state.socket.reset();
        if (!state.socket && !connect(state)) {
            std::this_thread::sleep_for(pauseAfterFailure);
            continue;
        }
        exchange(state);
        std::this_thread::sleep_for(milliseconds(Common::uniformBelow(state.random, pauseSpreadMs)));
    }
}

} // namespace Faults
