#include "Quarantine/StoredQuarantine.h"

#include "Common/Hash.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace Quarantine {

namespace {

    constexpr const char* trialsField = "trials";
    constexpr const char* crashesField = "crashes";
    constexpr const char* endpointField = "endpoint";
    constexpr const char* startedField = "started_ms";
    constexpr int hexadecimal = 16;

    std::optional<std::vector<endpoint_start>> decodeCrashes(const nlohmann::json& body)
    {
        std::vector<endpoint_start> crashes;
        const auto listed = body.find(crashesField);
        if (listed == body.end())
            return crashes;
        if (!listed->is_array())
            return {};
        for (const nlohmann::json& crash : *listed) {
            if (!crash.is_object() || !crash.contains(endpointField) || !crash[endpointField].is_string() || !crash.contains(startedField) || !crash[startedField].is_number_integer())
                return {};
            crashes.push_back({ { crash[endpointField].get<std::string>() }, { crash[startedField].get<int64_t>() } });
        }
        return crashes;
    }

} // namespace

std::string encodeKey(fingerprint subject)
{
    return Common::toHex(subject.value);
}

std::string encodeValue(const stored_quarantine& item)
{
    nlohmann::json crashes = nlohmann::json::array();
    for (const endpoint_start& crash : item.crashes)
        crashes.push_back({ { endpointField, crash.endpoint.value }, { startedField, crash.started.value } });
    return nlohmann::json { { trialsField, item.trials }, { crashesField, std::move(crashes) } }.dump();
}

std::optional<stored_quarantine> decodeRow(const std::string& key, const std::string& value)
{
    stored_quarantine item;
    const char* const end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data(), end, item.subject.value, hexadecimal);
    const nlohmann::json body = nlohmann::json::parse(value, nullptr, false);
    if (parsed.ec != std::errc() || parsed.ptr != end || !body.is_object())
        return {};
    const auto trials = body.find(trialsField);
    if (trials == body.end() || !trials->is_number_unsigned())
        return {};
    item.trials = trials->get<uint32_t>();
    auto crashes = decodeCrashes(body);
    if (!crashes)
        return {};
    item.crashes = std::move(*crashes);
    return item;
}

} // namespace Quarantine
