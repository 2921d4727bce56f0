#include "Entry/OperatorApi.h"

#include "Common/Log.h"
#include "Common/Text.h"
#include "Configuration/Secret.h"

namespace Entry {

namespace {

    using nlohmann::json;
    using nlohmann::ordered_json;

    constexpr size_t tokenLength = 24;

    operator_answer fail(Common::failure_kind kind, const std::string& subject)
    {
        const Common::failure reason { kind, subject, Common::run_state::NotRun, 0 };
        return { httpStatusOf(kind), describeAsJson(reason) };
    }

    operator_answer rejectChange(const std::vector<Configuration::mistake>& mistakes)
    {
        const Common::failure reason { Common::failure_kind::InvalidChange, "change", Common::run_state::NotRun, 0 };
        ordered_json body = ordered_json::parse(describeAsJson(reason));
        body["mistakes"] = ordered_json::array();
        for (const Configuration::mistake& item : mistakes)
            body["mistakes"].push_back({ { "member", item.member }, { "value", item.value }, { "allowed", item.allowed } });
        return { httpStatusOf(reason.kind), body.dump() };
    }

    operator_request parseChange(const Http::incoming_request& request)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return fail(Common::failure_kind::MalformedRequest, "body");
        auto item = Configuration::parseProposal(body);
        if (!item)
            return rejectChange(item.error());
        Configuration::proposal proposal;
        proposal.operatorToken = request.token;
        proposal.item = std::move(*item);
        proposal.item.token = Configuration::generateKey().substr(0, tokenLength);
        proposal.item.actor = body.contains("actor") && body["actor"].is_string() ? body["actor"].get<std::string>() : "operator";
        proposal.item.madeAt = { Common::wallClockMilliseconds() };
        if (body.contains("seen_version") && body["seen_version"].is_number_unsigned())
            proposal.seenVersion = { body["seen_version"].get<uint64_t>() };
        return proposal;
    }

    ordered_json describeMembers(const node_status& status)
    {
        ordered_json list = ordered_json::array();
        list.push_back({ { "node", status.node.value }, { "zone", status.zone.value }, { "status", status.isLeaving ? "leaving" : "alive" }, { "self", true } });
        for (const auto& [id, item] : status.members) {
            list.push_back({
                { "node", id.value },
                { "zone", item.zone.value },
                { "status", nameOf(item.status) },
                { "http", item.httpAddress },
                { "incarnation", item.incarnation.value },
            });
        }
        return list;
    }

    ordered_json describeEndpoints(const node_status& status)
    {
        ordered_json list = ordered_json::array();
        if (!status.endpoints)
            return list;
        for (const Endpoints::instance_info& info : *status.endpoints) {
            list.push_back({
                { "endpoint", info.id.value },
                { "service", info.service },
                { "version", info.version.value },
                { "zone", info.zone.value },
                { "price_per_hour_micro", info.pricePerHour.value },
            });
        }
        return list;
    }

    operator_answer describeStatus(const node_status& status)
    {
        ordered_json body {
            { "node", status.node.value },
            { "zone", status.zone.value },
            { "region", status.region.value },
            { "leaving", status.isLeaving },
            { "configuration_version", status.configuration.value },
        };
        body["members"] = describeMembers(status);
        body["endpoints"] = describeEndpoints(status);
        return { 200, body.dump() };
    }

    /// Key digests are no secrets, but nobody needs them either.
    operator_answer describeConfiguration(const caller_directory& directory)
    {
        ordered_json body = toJson(*directory.config);
        for (ordered_json& account : body["accounts"])
            account.erase("key_digest");
        return { 200, body.dump() };
    }

} // namespace

operator_request parseOperatorRequest(const std::string& operatorKey, const node_status& status, const caller_directory& directory,
    const Http::incoming_request& request)
{
    const std::string key = bearerToken(request.headers);
    if (operatorKey.empty() || !Common::equalSecrets(key, operatorKey))
        return fail(Common::failure_kind::Unauthorized, "authorization");
    const std::string path = request.path.substr(operatorPrefix.size());
    if (path == "changes" && request.method == "POST")
        return parseChange(request);
    if (request.method != "GET")
        return fail(Common::failure_kind::UnknownPath, request.path);
    if (path == "status")
        return describeStatus(status);
    if (path == "configuration")
        return describeConfiguration(directory);
    if (path == "audit")
        return Audit::trail_query { request.token, { Common::parseUnsigned(Http::queryValue(request.query, "after")).value_or(0) } };
    if (path == "explain")
        return Audit::explain_query { request.token, { Http::queryValue(request.query, "request") } };
    return fail(Common::failure_kind::UnknownPath, request.path);
}

} // namespace Entry
