#include "Faults/SoakWork.h"

#include "Common/Hash.h"

#include <array>

#include <fmt/format.h>

namespace Faults {

namespace {

    struct kind_properties {
        work_kind kind;
        const char* prefix;
        const char* wireName;
        bool isResumable;
        int maxEndpoints;
    };

    constexpr std::array<kind_properties, workKindCount> kinds { {
        { work_kind::Idempotent, "/look/", "idempotent", false, 2 },
        { work_kind::AtMostOnce, "/post/", "unsafe", false, 2 },
        { work_kind::Stream, "/talk/", "streaming", false, 2 },
        { work_kind::ResumableStream, "/note/", "streaming", true, 3 },
    } };

    constexpr uint32_t minEvents = 3;
    constexpr uint32_t eventSpread = 12;
    constexpr uint32_t minLines = 1;
    constexpr uint32_t lineSpread = 200;
    constexpr int routeTimeoutMs = 3000;

    const kind_properties& propertiesOf(work_kind kind)
    {
        return kinds[static_cast<size_t>(kind)];
    }

    uint32_t hashBelow(std::string_view id, uint32_t bound)
    {
        return static_cast<uint32_t>(Common::hash64(id) % bound);
    }

} // namespace

bool mayRunAgain(work_kind kind)
{
    return kind == work_kind::Idempotent || kind == work_kind::ResumableStream;
}

bool isStream(work_kind kind)
{
    return kind == work_kind::Stream || kind == work_kind::ResumableStream;
}

std::string targetOf(const work_request& request)
{
    return fmt::format("{}x%2fy?n={}", propertiesOf(request.kind).prefix, request.id);
}

work_kind kindOf(std::string_view target)
{
    for (const kind_properties& properties : kinds) {
        if (target.starts_with(properties.prefix))
            return properties.kind;
    }
    return work_kind::ResumableStream;
}

std::string requestBody(std::string_view id)
{
    return fmt::format("what {} asks", id);
}

std::string serializeRequest(const work_request& request)
{
    const std::string body = requestBody(request.id);
    return fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\nX-Filbertreel-Attempt-Id: {}\r\nX-Filbertreel-Time-Budget: {}\r\n"
                       "Authorization: Bearer {}\r\nX-Filbertreel-Tenant: forged\r\nContent-Length: {}\r\n\r\n{}",
        targetOf(request), soakHost, request.id, request.timeBudgetMs, request.key, body.size(), body);
}

std::string answerBody(std::string_view id)
{
    std::string body;
    const uint32_t lines = minLines + hashBelow(id, lineSpread);
    for (uint32_t line = 0; line < lines; ++line)
        body += fmt::format("{} of {}\n", line, id);
    return body;
}

uint32_t eventCount(std::string_view id)
{
    return minEvents + hashBelow(id, eventSpread);
}

std::string eventBytes(std::string_view id, uint32_t number)
{
    return fmt::format("id: {}\ndata: {} of {}\n\n", number, number, id);
}

std::string temporaryKey(uint64_t version)
{
    return fmt::format("key-{}", version);
}

nlohmann::json makeCatalog(uint64_t version)
{
    using nlohmann::json;
    json routes = json::array();
    for (const kind_properties& properties : kinds) {
        routes.push_back({ { "name", properties.prefix }, { "hostname", soakHost }, { "prefix", properties.prefix }, { "routeType", properties.wireName }, { "timeoutMs", routeTimeoutMs },
            { "service", "s" }, { "maxAttempts", properties.maxEndpoints }, { "resumable", properties.isResumable } });
    }
    const json temporaryKeys { temporaryKey(version), temporaryKey(version - 1) };
    return { { "version", version }, { "routes", routes }, { "services", { { { "name", "s" } } } },
        { "tenants", { { { "name", "many" }, { "apiKeys", { permanentKey } } }, { { "name", "passing" }, { "apiKeys", temporaryKeys } }, { { "name", limitedAccount }, { "apiKeys", { limitedKey } }, { "perS", limitedPerSecond }, { "burst", limitedBurst } } } } };
}

std::string accountOf(std::string_view key)
{
    if (key == permanentKey)
        return "many";
    return std::string(key == limitedKey ? limitedAccount : "passing");
}

} // namespace Faults
