#pragma once

/// @file
/// Checks what callers send and turns it into typed requests.

#include "Configuration/Model.h"
#include "Dispatch/Messages.h"
#include "Http/Server.h"

#include <memory>
#include <unordered_map>

namespace Entry {

/// The configuration in force with an index of its keys.
struct caller_directory {
    std::shared_ptr<const Configuration::configuration> config;
    std::unordered_map<std::string, Common::account_id> accountByDigest;
};

/// @param config the configuration in force.
/// @return it with its index.
caller_directory indexAccounts(std::shared_ptr<const Configuration::configuration> config);

/// @param headers of the request.
/// @return the bearer token, or an empty text.
std::string bearerToken(const std::vector<Http::header>& headers);

/// @param directory the configuration in force.
/// @param request any request of a caller.
/// @return the account whose key it carries.
Common::result<Common::account_id> authenticate(const caller_directory& directory, const Http::incoming_request& request);

/// @param directory the configuration in force.
/// @param request a POST of chat completions.
/// @return the checked request.
Common::result<Dispatch::caller_request> parseChat(const caller_directory& directory, const Http::incoming_request& request);

/// @param directory the configuration in force.
/// @param request a POST below the services' path.
/// @return the checked request.
Common::result<Dispatch::caller_request> parseServiceCall(const caller_directory& directory, const Http::incoming_request& request);

/// @param directory the configuration in force.
/// @param request a GET below the requests' path.
/// @return the caller that comes back.
Common::result<Dispatch::caller_resume> parseResume(const caller_directory& directory, const Http::incoming_request& request);

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicesPrefix = "/v1/services/";
constexpr std::string_view requestsPrefix = "/v1/requests/";

} // namespace Entry
