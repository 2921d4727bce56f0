#include "Configuration/Change.h"

#include "Common/Json.h"

#include <array>

namespace Configuration {

namespace {

    using nlohmann::json;

    constexpr std::array changeKinds { change_kind::Class, change_kind::Account, change_kind::Version };

    /// Validates the body, completes it with default values and sets the subject.
    /// @return every invalid member.
    std::vector<mistake> normalizeBody(change& item)
    {
        const auto storeParsed = [&item](auto&& parsedBody, auto&& subjectOf) -> std::vector<mistake> {
            if (!parsedBody)
                return parsedBody.error();
            item.subject = subjectOf(*parsedBody);
            item.body = toJson(*parsedBody);
            return {};
        };
        switch (item.kind) {
        case change_kind::Class:
            return storeParsed(parseClass(item.body), [](const class_of_work& body) { return body.name.value; });
        case change_kind::Account:
            return storeParsed(parseAccount(item.body), [](const client_account& body) { return body.id.value; });
        case change_kind::Version:
            return storeParsed(parseVersion(item.body), [](const endpoint_version& body) { return versionKey(body.service, body.name); });
        }
        return {};
    }

    void applyRemoval(configuration& state, const change& item)
    {
        switch (item.kind) {
        case change_kind::Class:
            state.classes.erase({ item.subject });
            return;
        case change_kind::Account:
            state.accounts.erase({ item.subject });
            return;
        case change_kind::Version:
            state.versions.erase(item.subject);
            return;
        }
    }

    /// Removes the service's previous current version when another one becomes current.
    void retireCurrentVersion(configuration& state, const endpoint_version& successor)
    {
        if (successor.state != version_state::Current)
            return;
        std::erase_if(state.versions, [&successor](const auto& entry) {
            const endpoint_version& other = entry.second;
            return other.service == successor.service && other.name != successor.name && other.state == version_state::Current;
        });
    }

    void applyBody(configuration& state, const change& item)
    {
        if (item.kind == change_kind::Class)
            state.classes[{ item.subject }] = *parseClass(item.body);
        if (item.kind == change_kind::Account)
            state.accounts[{ item.subject }] = *parseAccount(item.body);
        if (item.kind != change_kind::Version)
            return;
        const endpoint_version version = *parseVersion(item.body);
        retireCurrentVersion(state, version);
        state.versions[item.subject] = version;
    }

} // namespace

std::string_view nameOf(change_kind kind)
{
    switch (kind) {
    case change_kind::Class:
        return "class";
    case change_kind::Account:
        return "account";
    case change_kind::Version:
        return "version";
    }
    return "class";
}

parsed<change> parseProposal(const json& proposal)
{
    if (!proposal.is_object() || !proposal.contains("body") || !proposal["body"].is_object())
        return tl::unexpected(std::vector<mistake> { { "body", "missing", "an object with the members of the thing changed" } });
    change item;
    const std::string kind = proposal.contains("kind") && proposal["kind"].is_string() ? proposal["kind"].get<std::string>() : "";
    bool isKnown = false;
    for (const change_kind known : changeKinds) {
        if (kind != nameOf(known))
            continue;
        item.kind = known;
        isKnown = true;
    }
    if (!isKnown)
        return tl::unexpected(std::vector<mistake> { { "kind", kind, "class, account or version" } });
    item.isRemoval = proposal.contains("remove") && proposal["remove"] == json(true);
    item.cause = proposal.contains("cause") && proposal["cause"].is_string() ? proposal["cause"].get<std::string>() : "";
    item.body = proposal["body"];
    std::vector<mistake> mistakes = normalizeBody(item);
    if (!mistakes.empty())
        return tl::unexpected(std::move(mistakes));
    return item;
}

parsed<change> decodeChange(const std::string& text)
{
    const json body = Common::parseJson(text);
    auto item = parseProposal(body);
    if (!item)
        return item;
    item->version = { body.value("version", uint64_t { 0 }) };
    item->token = body.value("token", "");
    item->actor = body.value("actor", "");
    item->madeAt = { body.value("made_at_ms", int64_t { 0 }) };
    return item;
}

std::string encodeChange(const change& item)
{
    nlohmann::ordered_json body {
        { "version", item.version.value },
        { "token", item.token },
        { "actor", item.actor },
        { "cause", item.cause },
        { "made_at_ms", item.madeAt.value },
        { "kind", nameOf(item.kind) },
        { "remove", item.isRemoval },
    };
    body["body"] = item.body;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool applyChange(configuration& state, const change& item)
{
    if (item.version.value != state.version.value + 1)
        return false;
    if (item.isRemoval)
        applyRemoval(state, item);
    else
        applyBody(state, item);
    state.version = item.version;
    return true;
}

} // namespace Configuration
