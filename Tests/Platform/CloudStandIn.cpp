#include "Platform/CloudStandIn.h"

#include "Platform/ScriptedEndpoint.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace PlatformTests {

namespace {

    constexpr int okStatus = 200;
    constexpr int badRequestStatus = 400;
    constexpr int fencedStatus = 409;
    constexpr int busyStatus = 429;
    constexpr int downStatus = 503;
    constexpr std::chrono::milliseconds lateDelay { 1500 };

    Http::server_settings makeSettings(uint16_t port)
    {
        Http::server_settings settings;
        settings.port = port;
        return settings;
    }

    std::string dutyName(const Http::incoming_request& request, const nlohmann::json& body)
    {
        if (request.path != "/scale")
            return request.path.substr(1);
        return "scale " + body.value("service", "") + " " + body.value("zone", "");
    }

} // namespace

cloud_stand_in::cloud_stand_in()
    : m_port(findFreePort())
    , m_server(makeSettings(m_port), [this](Http::incoming_request&& request) { answer(std::move(request)); })
    , m_thread([this] { m_server.run(); })
{
}

cloud_stand_in::~cloud_stand_in()
{
    m_server.stop();
    m_thread.join();
}

std::vector<duty_call> cloud_stand_in::calls() const
{
    const std::lock_guard guard(m_mutex);
    return m_calls;
}

int cloud_stand_in::applyCall(const Http::incoming_request& request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    const std::string fence(Http::findHeader(request.headers, "x-filbertreel-fence-token"));
    if (!body.is_object() || fence.empty())
        return badRequestStatus;
    const std::lock_guard guard(m_mutex);
    duty_call call;
    call.duty = dutyName(request, body);
    call.holder = Http::findHeader(request.headers, "x-filbertreel-duty-holder");
    call.fence = std::stoull(fence);
    call.body = body.dump();
    call.at = std::chrono::steady_clock::now();
    uint64_t& highest = m_highestFence[call.duty];
    call.isAccepted = call.fence >= highest;
    highest = std::max(highest, call.fence);
    m_calls.push_back(call);
    return call.isAccepted ? okStatus : fencedStatus;
}

void cloud_stand_in::answer(Http::incoming_request&& request)
{
    switch (m_mode) {
    case cloud_mode::Busy:
        return m_server.respond(request.token, busyStatus, {}, "{}");
    case cloud_mode::Down:
        return m_server.respond(request.token, downStatus, {}, "{}");
    case cloud_mode::LoseAnswers:
        applyCall(request);
        return;
    case cloud_mode::Late:
        return m_server.runAfter(lateDelay, [this, late = std::move(request)] { applyCall(late); });
    case cloud_mode::Serve: {
        const int status = applyCall(request);
        return m_server.respond(request.token, status, {}, status == fencedStatus ? R"({"error":"fence token is too low"})" : "{}");
    }
    }
}

} // namespace PlatformTests
