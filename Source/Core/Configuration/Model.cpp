#include "Configuration/Model.h"

#include <array>
#include <limits>

namespace Configuration {

namespace {

    using nlohmann::json;
    using nlohmann::ordered_json;

    constexpr size_t maxNameLength = 64;
    constexpr int64_t maxTargetMilliseconds = 3600000;

    /// Reads members of one JSON object and collects every invalid one.
    struct member_reader {
        const json& body;
        std::vector<mistake> mistakes;

        void reject(const std::string& member, const std::string& allowed)
        {
            const auto found = body.find(member);
            mistakes.push_back({ member, found == body.end() ? "missing" : found->dump(), allowed });
        }

        std::string readName(const std::string& member)
        {
            const auto found = body.find(member);
            const bool isText = found != body.end() && found->is_string();
            std::string text = isText ? found->get<std::string>() : "";
            const bool isValidName = !text.empty() && text.size() <= maxNameLength
                && text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == std::string::npos;
            if (!isValidName)
                reject(member, "1 to 64 of letters, digits, '-', '_' and '.'");
            return text;
        }

        /// @return the text; empty when the member is missing.
        std::string readText(const std::string& member)
        {
            const auto found = body.find(member);
            if (found == body.end())
                return {};
            if (!found->is_string()) {
                reject(member, "text");
                return {};
            }
            return found->get<std::string>();
        }

        int64_t readInteger(const std::string& member, int64_t defaultValue, int64_t minimum, int64_t maximum)
        {
            const auto found = body.find(member);
            if (found == body.end())
                return defaultValue;
            const bool isInRange = found->is_number_integer() && found->get<int64_t>() >= minimum && found->get<int64_t>() <= maximum;
            if (isInRange)
                return found->get<int64_t>();
            reject(member, std::to_string(minimum) + " to " + std::to_string(maximum));
            return defaultValue;
        }

        std::chrono::milliseconds readTarget(const std::string& member, std::chrono::milliseconds defaultValue)
        {
            return std::chrono::milliseconds(readInteger(member, defaultValue.count(), 1, maxTargetMilliseconds));
        }

        bool readFlag(const std::string& member, bool defaultValue)
        {
            const auto found = body.find(member);
            if (found == body.end())
                return defaultValue;
            if (found->is_boolean())
                return found->get<bool>();
            reject(member, "true or false");
            return defaultValue;
        }

        /// @return the value with this name; the first choice when the member is missing.
        template <typename choice, size_t count>
        choice readChoice(const std::string& member, const std::array<choice, count>& choices)
        {
            const std::string text = readText(member);
            std::string allowed;
            for (const choice candidate : choices) {
                if (text == nameOf(candidate))
                    return candidate;
                allowed += (allowed.empty() ? "" : " or ") + std::string(nameOf(candidate));
            }
            if (body.contains(member))
                reject(member, allowed);
            return choices.front();
        }

        /// @return the filled value, moved out, or every invalid member.
        template <typename value_type>
        parsed<value_type> finish(value_type& item)
        {
            if (mistakes.empty())
                return std::move(item);
            return tl::unexpected(std::move(mistakes));
        }
    };

    constexpr std::array classKinds { class_kind::Model, class_kind::Service };
    constexpr std::array versionStates { version_state::Current, version_state::TakingOver, version_state::RolledBack };

    constexpr int64_t maxInteger = std::numeric_limits<int64_t>::max();

} // namespace

std::string versionKey(const std::string& service, const Common::version_name& version)
{
    return service + "/" + version.value;
}

std::string_view nameOf(class_kind kind)
{
    return kind == class_kind::Model ? "model" : "service";
}

std::string_view nameOf(version_state state)
{
    switch (state) {
    case version_state::Current:
        return "current";
    case version_state::TakingOver:
        return "taking_over";
    case version_state::RolledBack:
        return "taken_back";
    }
    return "current";
}

parsed<class_of_work> parseClass(const json& body)
{
    constexpr int64_t maxPriority = 9;
    member_reader reader { body, {} };
    class_of_work item;
    item.name = { reader.readName("name") };
    item.kind = reader.readChoice("work", classKinds);
    item.service = reader.readName("service");
    item.isIdempotent = reader.readFlag("idempotent", true);
    item.firstTokenTarget = reader.readTarget("first_token_ms", item.firstTokenTarget);
    item.betweenTokensTarget = reader.readTarget("between_tokens_ms", item.betweenTokensTarget);
    item.answerTarget = reader.readTarget("answer_ms", item.answerTarget);
    item.maxCostPerThousandTokens = { reader.readInteger("max_cost_micro", 0, 0, maxInteger) };
    item.priority = static_cast<int>(reader.readInteger("priority", 0, 0, maxPriority));
    return reader.finish(item);
}

parsed<client_account> parseAccount(const json& body)
{
    constexpr int64_t maxShare = 1000;
    member_reader reader { body, {} };
    client_account item;
    item.id = { reader.readName("name") };
    item.keyDigest = reader.readName("key_digest");
    item.share = static_cast<uint32_t>(reader.readInteger("share", 1, 1, maxShare));
    return reader.finish(item);
}

parsed<endpoint_version> parseVersion(const json& body)
{
    member_reader reader { body, {} };
    endpoint_version item;
    item.service = reader.readName("service");
    item.name = { reader.readName("name") };
    item.state = reader.readChoice("state", versionStates);
    item.startedAt = { reader.readInteger("started_at_ms", 0, 0, maxInteger) };
    item.deadline = { reader.readInteger("deadline_ms", 0, 0, maxInteger) };
    item.cause = reader.readText("cause");
    return reader.finish(item);
}

ordered_json toJson(const class_of_work& item)
{
    return {
        { "name", item.name.value },
        { "work", nameOf(item.kind) },
        { "service", item.service },
        { "idempotent", item.isIdempotent },
        { "first_token_ms", item.firstTokenTarget.count() },
        { "between_tokens_ms", item.betweenTokensTarget.count() },
        { "answer_ms", item.answerTarget.count() },
        { "max_cost_micro", item.maxCostPerThousandTokens.value },
        { "priority", item.priority },
    };
}

ordered_json toJson(const client_account& item)
{
    return { { "name", item.id.value }, { "key_digest", item.keyDigest }, { "share", item.share } };
}

ordered_json toJson(const endpoint_version& item)
{
    return {
        { "service", item.service },
        { "name", item.name.value },
        { "state", nameOf(item.state) },
        { "started_at_ms", item.startedAt.value },
        { "deadline_ms", item.deadline.value },
        { "cause", item.cause },
    };
}

ordered_json toJson(const configuration& state)
{
    ordered_json body { { "version", state.version.value } };
    body["classes"] = ordered_json::array();
    for (const auto& [name, item] : state.classes)
        body["classes"].push_back(toJson(item));
    body["accounts"] = ordered_json::array();
    for (const auto& [id, item] : state.accounts)
        body["accounts"].push_back(toJson(item));
    body["versions"] = ordered_json::array();
    for (const auto& [key, item] : state.versions)
        body["versions"].push_back(toJson(item));
    return body;
}

parsed<configuration> parseConfiguration(const json& body)
{
    if (!body.is_object())
        return tl::unexpected(std::vector<mistake> { { "configuration", body.dump(), "an object" } });
    configuration state;
    state.version = { body.value("version", uint64_t { 0 }) };
    for (const json& item : body.value("classes", json::array())) {
        auto parsedItem = parseClass(item);
        if (!parsedItem)
            return tl::unexpected(parsedItem.error());
        state.classes[parsedItem->name] = *parsedItem;
    }
    for (const json& item : body.value("accounts", json::array())) {
        auto parsedItem = parseAccount(item);
        if (!parsedItem)
            return tl::unexpected(parsedItem.error());
        state.accounts[parsedItem->id] = *parsedItem;
    }
    for (const json& item : body.value("versions", json::array())) {
        auto parsedItem = parseVersion(item);
        if (!parsedItem)
            return tl::unexpected(parsedItem.error());
        state.versions[versionKey(parsedItem->service, parsedItem->name)] = *parsedItem;
    }
    return state;
}

} // namespace Configuration
