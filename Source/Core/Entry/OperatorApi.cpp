#include "Entry/OperatorApi.h"

#include "Common/Json.h"
#include "Common/Log.h"
#include "Common/Text.h"
#include "Configuration/Secret.h"

namespace Entry {

namespace {

    using nlohmann::json;
    using nlohmann::ordered_json;

    constexpr size_t changeTokenLength = 24;

    operator_answer failureAnswer(Common::failure_kind kind, const std::string& subject)
    {
        const Common::failure reason { kind, subject, Common::run_state::NotRun, 0 };
        return { httpStatusOf(kind), describeAsJson(reason) };
    }

    operator_answer rejectChange(const std::vector<Configuration::mistake>& mistakes)
    {
        const Common::failure reason { Common::failure_kind::InvalidChange, "change", Common::run_state::NotRun, 0 };
        ordered_json body = ordered_json::parse(describeAsJson(reason));
        body["mistakes"] = ordered_json::array();
        for (const Configuration::mistake& mistake : mistakes)
            body["mistakes"].push_back({ { "member", mistake.member }, { "value", mistake.value }, { "allowed", mistake.allowed } });
        return { httpStatusOf(reason.kind), body.dump() };
    }

    operator_request parseChange(const Http::incoming_request& request)
    {
        const json body = Common::parseJson(request.body);
        if (!body.is_object())
            return failureAnswer(Common::failure_kind::MalformedRequest, "body");
        auto change = Configuration::parseProposal(body);
        if (!change)
            return rejectChange(change.error());
        Configuration::proposal proposal;
        proposal.operatorToken = request.token;
        proposal.item = std::move(*change);
        proposal.item.token = Configuration::generateKey().substr(0, changeTokenLength);
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
        for (const auto& [id, member] : status.members) {
            list.push_back({
                { "node", id.value },
                { "zone", member.zone.value },
                { "status", nameOf(member.status) },
                { "http", member.httpAddress },
                { "incarnation", member.incarnation.value },
            });
        }
        return list;
    }

    ordered_json describeEndpoints(const node_status& status)
    {
        ordered_json list = ordered_json::array();
        if (!status.endpoints)
            return list;
        for (const Endpoints::instance_info& endpoint : *status.endpoints) {
            list.push_back({
                { "endpoint", endpoint.id.value },
                { "service", endpoint.service },
                { "version", endpoint.version.value },
                { "zone", endpoint.zone.value },
                { "price_per_hour_micro", endpoint.pricePerHour.value },
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

    /// Omits the digests of account keys: they are not secret, but operators have no use for them.
    operator_answer describeConfiguration(const indexed_configuration& indexed)
    {
        ordered_json body = toJson(*indexed.config);
        for (ordered_json& account : body["accounts"])
            account.erase("key_digest");
        return { 200, body.dump() };
    }

} // namespace

operator_request parseOperatorRequest(const std::string& operatorKey, const node_status& status, const indexed_configuration& indexed,
    const Http::incoming_request& request)
{
    const std::string key = bearerToken(request.headers);
    if (operatorKey.empty() || !Common::equalSecrets(key, operatorKey))
        return failureAnswer(Common::failure_kind::Unauthorized, "authorization");
    const std::string path = request.path.substr(operatorPrefix.size());
    if (path == "changes" && request.method == "POST")
        return parseChange(request);
    if (request.method != "GET")
        return failureAnswer(Common::failure_kind::UnknownPath, request.path);
    if (path == "status")
        return describeStatus(status);
    if (path == "configuration")
        return describeConfiguration(indexed);
    if (path == "audit")
        return Audit::trail_query { request.token, { Common::parseUnsigned(Http::queryValue(request.query, "after")).value_or(0) } };
    if (path == "explain")
        return Audit::explain_query { request.token, { Http::queryValue(request.query, "request") } };
    return failureAnswer(Common::failure_kind::UnknownPath, request.path);
}

} // namespace Entry
