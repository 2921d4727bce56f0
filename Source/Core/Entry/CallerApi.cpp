#include "Entry/CallerApi.h"

#include "Common/Json.h"
#include "Common/Text.h"
#include "Configuration/Secret.h"

namespace Entry {

namespace {

    using Common::failure;
    using Common::failure_kind;
    using nlohmann::json;

    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr size_t maxIdempotencyKeyBytes = 128;

    tl::unexpected<failure> reject(failure_kind kind, const std::string& subject)
    {
        return tl::unexpected(failure { kind, subject, Common::run_state::NotRun, 0 });
    }

    bool isMessage(const json& value)
    {
        return value.is_object() && value.contains("role") && value["role"].is_string() && value.contains("content") && value["content"].is_string();
    }

    bool hasValidMessages(const json& body)
    {
        const auto messages = body.find("messages");
        if (messages == body.end() || !messages->is_array() || messages->empty())
            return false;
        return std::all_of(messages->begin(), messages->end(), isMessage);
    }

    Common::result<Configuration::class_of_work> findClass(const indexed_configuration& indexed, const std::string& name, Configuration::class_kind kind)
    {
        const auto found = indexed.config->classes.find({ name });
        if (found == indexed.config->classes.end() || found->second.kind != kind)
            return reject(failure_kind::UnknownClass, name);
        return found->second;
    }

    /// An event id has the form "<request id>:<token position>"; a malformed one counts as position zero.
    uint64_t positionOf(std::string_view lastEventId)
    {
        const size_t colon = lastEventId.rfind(':');
        if (colon == std::string_view::npos)
            return 0;
        return Common::parseUnsigned(lastEventId.substr(colon + 1)).value_or(0);
    }

} // namespace

indexed_configuration indexAccounts(std::shared_ptr<const Configuration::configuration> config)
{
    indexed_configuration indexed;
    for (const auto& [id, account] : config->accounts)
        indexed.accountByDigest[account.keyDigest] = id;
    indexed.config = std::move(config);
    return indexed;
}

std::string bearerToken(const std::vector<Http::header>& headers)
{
    const std::string_view value = Http::findHeader(headers, "authorization");
    if (value.substr(0, bearerPrefix.size()) != bearerPrefix)
        return {};
    return std::string(value.substr(bearerPrefix.size()));
}

Common::result<Common::account_id> authenticate(const indexed_configuration& indexed, const Http::incoming_request& request)
{
    const std::string key = bearerToken(request.headers);
    const auto found = indexed.accountByDigest.find(Configuration::digestKey(key));
    if (key.empty() || found == indexed.accountByDigest.end())
        return reject(failure_kind::Unauthorized, "authorization");
    return found->second;
}

Common::result<Dispatch::caller_request> parseChat(const indexed_configuration& indexed, const Http::incoming_request& request)
{
    const auto account = authenticate(indexed, request);
    if (!account)
        return tl::unexpected(account.error());
    Dispatch::caller_request parsed;
    parsed.token = request.token;
    parsed.account = *account;
    parsed.body = Common::parseJson(request.body);
    if (!parsed.body.is_object())
        return reject(failure_kind::MalformedRequest, "body");
    if (!hasValidMessages(parsed.body))
        return reject(failure_kind::MalformedRequest, "messages");
    const auto model = parsed.body.find("model");
    if (model == parsed.body.end() || !model->is_string())
        return reject(failure_kind::MalformedRequest, "model");
    auto work = findClass(indexed, model->get<std::string>(), Configuration::class_kind::Model);
    if (!work)
        return tl::unexpected(work.error());
    parsed.work = std::move(*work);
    const auto stream = parsed.body.find("stream");
    if (stream != parsed.body.end() && !stream->is_boolean())
        return reject(failure_kind::MalformedRequest, "stream");
    parsed.isStreamed = stream != parsed.body.end() && stream->get<bool>();
    return parsed;
}

Common::result<Dispatch::caller_request> parseServiceCall(const indexed_configuration& indexed, const Http::incoming_request& request)
{
    const auto account = authenticate(indexed, request);
    if (!account)
        return tl::unexpected(account.error());
    const std::string rest = request.path.substr(servicesPrefix.size());
    const size_t slash = std::min(rest.find('/'), rest.size());
    auto work = findClass(indexed, rest.substr(0, slash), Configuration::class_kind::Service);
    if (!work)
        return tl::unexpected(work.error());
    Dispatch::caller_request parsed;
    parsed.token = request.token;
    parsed.account = *account;
    parsed.work = std::move(*work);
    parsed.path = slash < rest.size() ? rest.substr(slash) : "/";
    parsed.rawBody = request.body;
    parsed.idempotencyKey = Http::findHeader(request.headers, "idempotency-key");
    const bool isKeyMissing = parsed.idempotencyKey.empty() && !parsed.work.isIdempotent;
    if (isKeyMissing || parsed.idempotencyKey.size() > maxIdempotencyKeyBytes)
        return reject(failure_kind::MissingIdempotencyKey, "idempotency-key");
    return parsed;
}

Common::result<Dispatch::caller_resume> parseResume(const indexed_configuration& indexed, const Http::incoming_request& request)
{
    const auto account = authenticate(indexed, request);
    if (!account)
        return tl::unexpected(account.error());
    Dispatch::caller_resume parsed;
    parsed.token = request.token;
    parsed.account = *account;
    parsed.request = { request.path.substr(requestsPrefix.size()) };
    parsed.isStreamed = Http::queryValue(request.query, "stream") != "false";
    const std::string after = Http::queryValue(request.query, "after");
    if (!after.empty())
        parsed.afterPosition = Common::parseUnsigned(after).value_or(0);
    else
        parsed.afterPosition = positionOf(Http::findHeader(request.headers, "last-event-id"));
    return parsed;
}

} // namespace Entry
