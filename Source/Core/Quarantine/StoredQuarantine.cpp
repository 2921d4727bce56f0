#include "Quarantine/StoredQuarantine.h"

#include "Common/Hash.h"
#include "Common/Json.h"

#include <charconv>

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
            if (!Common::memberOf(crash, endpointField).is_string() || !Common::isIntegerOf<int64_t>(Common::memberOf(crash, startedField)))
                return {};
            crashes.push_back({ { Common::textMember(crash, endpointField) }, { Common::integerMember<int64_t>(crash, startedField) } });
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
    const nlohmann::json body = Common::parseJson(value);
    if (parsed.ec != std::errc() || parsed.ptr != end || !body.is_object())
        return {};
    if (!Common::isIntegerOf<uint32_t>(Common::memberOf(body, trialsField)))
        return {};
    item.trials = Common::integerMember<uint32_t>(body, trialsField);
    auto crashes = decodeCrashes(body);
    if (!crashes)
        return {};
    item.crashes = std::move(*crashes);
    return item;
}

} // namespace Quarantine
