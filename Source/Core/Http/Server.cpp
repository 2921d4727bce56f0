#include "Http/Server.h"

#include <unordered_map>

#include <restinio/all.hpp>

namespace Http {

namespace {

    struct server_traits : public restinio::default_single_thread_traits_t {
        static constexpr bool use_connection_count_limiter = true; // NOLINT(readability-identifier-naming): RESTinio requires this name.
    };

    using stream_builder = restinio::response_builder_t<restinio::chunked_output_t>;

    /// RESTinio measures this timeout until the whole response is written, so it must allow for long streams.
    constexpr std::chrono::hours responseTimeLimit { 2 };

    bool equalsIgnoringCase(std::string_view text, std::string_view lowerCaseText)
    {
        if (text.size() != lowerCaseText.size())
            return false;
        for (size_t index = 0; index < text.size(); ++index) {
            if (std::tolower(static_cast<unsigned char>(text[index])) != lowerCaseText[index])
                return false;
        }
        return true;
    }

} // namespace

std::string_view findHeader(const std::vector<header>& headers, std::string_view name)
{
    for (const header& field : headers) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

std::string queryValue(std::string_view query, std::string_view name)
{
    size_t start = 0;
    while (start < query.size()) {
        const size_t end = std::min(query.find('&', start), query.size());
        const std::string_view pair = query.substr(start, end - start);
        const size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return std::string(pair.substr(equals + 1));
        start = end + 1;
    }
    return {};
}

struct server::implementation {
    struct open_request {
        restinio::request_handle_t request;
        std::unique_ptr<stream_builder> stream;
    };

    server_settings settings;
    request_handler onRequest;
    write_observer onWritten;
    restinio::asio_ns::io_context context { 1 };
    std::unordered_map<uint64_t, open_request> openRequests;
    uint64_t lastToken { 0 };

    restinio::request_handling_status_t handleRequest(const restinio::request_handle_t& request)
    {
        incoming_request incoming;
        incoming.token = { ++lastToken };
        incoming.method = request->header().method().c_str();
        const auto path = request->header().path();
        incoming.path.assign(path.data(), path.size());
        const auto query = request->header().query();
        incoming.query.assign(query.data(), query.size());
        request->header().for_each_field([&incoming](const auto& field) {
            incoming.headers.push_back({ field.name(), field.value() });
        });
        incoming.body = request->body();
        openRequests.emplace(lastToken, open_request { request, nullptr });
        onRequest(std::move(incoming));
        return restinio::request_accepted();
    }

    std::vector<std::pair<std::string, uint16_t>> listenAddresses() const
    {
        if (settings.listen.empty())
            return { { settings.address, settings.port } };
        std::vector<std::pair<std::string, uint16_t>> addresses;
        for (const std::string& text : settings.listen) {
            const size_t colon = text.rfind(':');
            addresses.emplace_back(text.substr(0, colon), static_cast<uint16_t>(std::stoul(text.substr(colon + 1))));
        }
        return addresses;
    }

    auto makeSettings(const std::string& address, uint16_t port)
    {
        restinio::incoming_http_msg_limits_t limits;
        limits.max_body_size(settings.maxBodyBytes);
        limits.max_field_count(settings.maxHeaderCount);
        limits.max_field_name_size(settings.maxHeaderBytes);
        limits.max_field_value_size(settings.maxHeaderBytes);
        limits.max_url_size(settings.maxHeaderBytes);
        restinio::server_settings_t<server_traits> serverSettings;
        serverSettings.address(address)
            .port(port)
            .request_handler([this](const restinio::request_handle_t& request) { return handleRequest(request); })
            .read_next_http_message_timelimit(settings.readTimeout)
            .write_http_response_timelimit(settings.writeTimeout)
            .handle_request_timeout(responseTimeLimit)
            .max_pipelined_requests(1)
            .incoming_http_msg_limits(limits)
            .max_parallel_connections(settings.maxConnections)
            .acceptor_options_setter([](auto& options) {
                options.set_option(restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
            })
            .socket_options_setter([](auto& options) {
                options.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
            });
        return serverSettings;
    }
};

server::server(const server_settings& settings, request_handler onRequest, write_observer onWritten)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->settings = settings;
    m_implementation->onRequest = std::move(onRequest);
    m_implementation->onWritten = std::move(onWritten);
}

server::~server() = default;

void server::run()
{
    std::vector<std::unique_ptr<restinio::http_server_t<server_traits>>> listeners;
    for (const auto& [address, port] : m_implementation->listenAddresses()) {
        listeners.push_back(std::make_unique<restinio::http_server_t<server_traits>>(
            restinio::external_io_context(m_implementation->context), m_implementation->makeSettings(address, port)));
        listeners.back()->open_sync();
    }
    const auto workGuard = restinio::asio_ns::make_work_guard(m_implementation->context);
    m_implementation->context.run();
    m_implementation->openRequests.clear();
}

void server::stop()
{
    m_implementation->context.stop();
}

void server::post(std::function<void()> task)
{
    restinio::asio_ns::post(m_implementation->context, std::move(task));
}

void server::runAfter(std::chrono::milliseconds delay, std::function<void()> task)
{
    auto timer = std::make_shared<restinio::asio_ns::steady_timer>(m_implementation->context, delay);
    timer->async_wait([timer, task = std::move(task)](const auto& error) {
        if (!error)
            task();
    });
}

void server::respond(Common::caller_token token, int status, const std::vector<header>& headers, std::string body)
{
    const auto found = m_implementation->openRequests.find(token.value);
    if (found == m_implementation->openRequests.end())
        return;
    auto response = found->second.request->create_response(restinio::http_status_line_t {
        restinio::http_status_code_t { static_cast<uint16_t>(status) }, "" });
    for (const header& field : headers)
        response.append_header(field.name, field.value);
    response.set_body(std::move(body));
    m_implementation->openRequests.erase(found);
    response.done();
}

void server::beginStream(Common::caller_token token, int status, const std::vector<header>& headers)
{
    const auto found = m_implementation->openRequests.find(token.value);
    if (found == m_implementation->openRequests.end())
        return;
    const restinio::http_status_line_t line { restinio::http_status_code_t { static_cast<uint16_t>(status) }, "" };
    auto response = found->second.request->create_response<restinio::chunked_output_t>(line);
    for (const header& field : headers)
        response.append_header(field.name, field.value);
    response.flush();
    found->second.stream = std::make_unique<stream_builder>(std::move(response));
}

void server::writeChunk(Common::caller_token token, std::string bytes)
{
    const auto found = m_implementation->openRequests.find(token.value);
    if (found == m_implementation->openRequests.end() || !found->second.stream)
        return;
    const size_t size = bytes.size();
    found->second.stream->append_chunk(std::move(bytes));
    found->second.stream->flush([this, token, size](const auto& error) {
        if (error)
            m_implementation->openRequests.erase(token.value);
        if (m_implementation->onWritten)
            m_implementation->onWritten(token, size, !error);
    });
}

void server::endStream(Common::caller_token token)
{
    const auto found = m_implementation->openRequests.find(token.value);
    if (found == m_implementation->openRequests.end() || !found->second.stream)
        return;
    const auto stream = std::move(found->second.stream);
    m_implementation->openRequests.erase(found);
    stream->done();
}

void server::cutAnswer(Common::caller_token token)
{
    const auto found = m_implementation->openRequests.find(token.value);
    if (found == m_implementation->openRequests.end())
        return;
    constexpr size_t announcedBytes = 1024;
    auto response = found->second.request->create_response<restinio::user_controlled_output_t>();
    response.set_content_length(announcedBytes);
    response.connection_close();
    response.append_body("cut");
    m_implementation->openRequests.erase(found);
    response.done();
}

} // namespace Http
