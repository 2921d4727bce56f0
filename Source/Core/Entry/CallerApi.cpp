#include "Entry/CallerApi.h"

#include "Common/Text.h"
#include "Configuration/Secret.h"

namespace Entry {

namespace {

    using Common::failure;
    using Common::failure_kind;
    using nlohmann::json;

    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr size_t longestIdempotencyKey = 128;

    tl::unexpected<failure> reject(failure_kind kind, const std::string& subject)
    {
        return tl::unexpected(failure { kind, subject, Common::run_state::NotRun, 0 });
    }

    bool isMessage(const json& item)
    {
        return item.is_object() && item.contains("role") && item["role"].is_string() && item.contains("content") && item["content"].is_string();
    }

    bool areMessages(const json& body)
    {
        const auto messages = body.find("messages");
        if (messages == body.end() || !messages->is_array() || messages->empty())
            return false;
        return std::all_of(messages->begin(), messages->end(), isMessage);
    }

    Common::result<Configuration::class_of_work> findClass(const caller_directory& directory, const std::string& name, Configuration::class_kind kind)
    {
        const auto found = directory.config->classes.find({ name });
        if (found == directory.config->classes.end() || found->second.kind != kind)
            return reject(failure_kind::UnknownClass, name);
        return found->second;
    }

    /// An event id is the request's id, a colon and the token's position.
    uint64_t positionOf(std::string_view lastEventId)
    {
        const size_t colon = lastEventId.rfind(':');
        if (colon == std::string_view::npos)
            return 0;
        return Common::parseUnsigned(lastEventId.substr(colon + 1)).value_or(0);
    }

} // namespace

caller_directory indexAccounts(std::shared_ptr<const Configuration::configuration> config)
{
    caller_directory directory;
    for (const auto& [id, account] : config->accounts)
        directory.accountByDigest[account.keyDigest] = id;
    directory.config = std::move(config);
    return directory;
}

std::string bearerToken(const std::vector<Http::header>& headers)
{
    const std::string_view value = Http::findHeader(headers, "authorization");
    if (value.substr(0, bearerPrefix.size()) != bearerPrefix)
        return {};
    return std::string(value.substr(bearerPrefix.size()));
}

Common::result<Common::account_id> authenticate(const caller_directory& directory, const Http::incoming_request& request)
{
    const std::string key = bearerToken(request.headers);
    const auto found = directory.accountByDigest.find(Configuration::digestKey(key));
    if (key.empty() || found == directory.accountByDigest.end())
        return reject(failure_kind::Unauthorized, "authorization");
    return found->second;
}

Common::result<Dispatch::caller_request> parseChat(const caller_directory& directory, const Http::incoming_request& request)
{
    const auto account = authenticate(directory, request);
    if (!account)
        return tl::unexpected(account.error());
    Dispatch::caller_request parsed;
    parsed.token = request.token;
    parsed.account = *account;
    parsed.body = json::parse(request.body, nullptr, false);
    if (!parsed.body.is_object())
        return reject(failure_kind::MalformedRequest, "body");
    if (!areMessages(parsed.body))
        return reject(failure_kind::MalformedRequest, "messages");
    const auto model = parsed.body.find("model");
    if (model == parsed.body.end() || !model->is_string())
        return reject(failure_kind::MalformedRequest, "model");
    auto work = findClass(directory, model->get<std::string>(), Configuration::class_kind::Model);
    if (!work)
        return tl::unexpected(work.error());
    parsed.work = std::move(*work);
    const auto stream = parsed.body.find("stream");
    if (stream != parsed.body.end() && !stream->is_boolean())
        return reject(failure_kind::MalformedRequest, "stream");
    parsed.isStreamed = stream != parsed.body.end() && stream->get<bool>();
    return parsed;
}

Common::result<Dispatch::caller_request> parseServiceCall(const caller_directory& directory, const Http::incoming_request& request)
{
    const auto account = authenticate(directory, request);
    if (!account)
        return tl::unexpected(account.error());
    const std::string rest = request.path.substr(servicesPrefix.size());
    const size_t slash = std::min(rest.find('/'), rest.size());
    auto work = findClass(directory, rest.substr(0, slash), Configuration::class_kind::Service);
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
    if (isKeyMissing || parsed.idempotencyKey.size() > longestIdempotencyKey)
        return reject(failure_kind::MissingIdempotencyKey, "idempotency-key");
    return parsed;
}

Common::result<Dispatch::caller_resume> parseResume(const caller_directory& directory, const Http::incoming_request& request)
{
    const auto account = authenticate(directory, request);
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
