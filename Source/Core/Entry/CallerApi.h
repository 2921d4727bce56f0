#pragma once

/// @file
/// Authenticates and validates callers' HTTP requests and converts them to the dispatch duty's requests.

#include "Configuration/Model.h"
#include "Dispatch/Messages.h"
#include "Http/Server.h"

#include <memory>
#include <unordered_map>

namespace Entry {

/// The current configuration with an index of the accounts' keys.
struct indexed_configuration {
    std::shared_ptr<const Configuration::configuration> config;
    std::unordered_map<std::string, Common::account_id> accountByDigest; ///< By the digest of the account's key.
};

/// @param config the current configuration; must not be null.
/// @return the configuration with its index.
indexed_configuration indexAccounts(std::shared_ptr<const Configuration::configuration> config);

/// @param headers headers of a request.
/// @return the bearer token of its Authorization header, or an empty text.
std::string bearerToken(const std::vector<Http::header>& headers);

/// @param indexed the current configuration.
/// @param request a request of a caller.
/// @return the account whose key is the bearer token, or Unauthorized.
Common::result<Common::account_id> authenticate(const indexed_configuration& indexed, const Http::incoming_request& request);

/// @param indexed the current configuration.
/// @param request a POST to chatPath.
/// @return the validated request, or why it is rejected.
Common::result<Dispatch::caller_request> parseChat(const indexed_configuration& indexed, const Http::incoming_request& request);

/// @param indexed the current configuration.
/// @param request a request to a path under servicesPrefix.
/// @return the validated request, or why it is rejected.
Common::result<Dispatch::caller_request> parseServiceCall(const indexed_configuration& indexed, const Http::incoming_request& request);

/// @param indexed the current configuration.
/// @param request a GET of a path under requestsPrefix.
/// @return the caller's request to resume an earlier one after a token position, or why it is rejected.
Common::result<Dispatch::caller_resume> parseResume(const indexed_configuration& indexed, const Http::incoming_request& request);

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicesPrefix = "/v1/services/";
constexpr std::string_view requestsPrefix = "/v1/requests/";

} // namespace Entry
