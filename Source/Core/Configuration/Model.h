#pragma once

/// @file
/// What operators configure: classes of work with their latency and cost targets, client accounts, endpoint versions.

#include "Common/Failure.h"
#include "Common/Ids.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Configuration {

enum class class_kind {
    Model, ///< Served by model engines: chat completions.
    Service, ///< Served by a plain service.
};

/// A class of work and the latency and cost targets that the system has to meet for it.
struct class_of_work {
    Common::class_name name;
    class_kind kind { class_kind::Model };
    std::string service; ///< The model or service whose endpoints serve the class.
    bool isIdempotent { true }; ///< Whether a request may run more than once.
    std::chrono::milliseconds firstTokenTarget { 810 }; ///< Until the first token of a model answer.
    std::chrono::milliseconds betweenTokensTarget { 53 }; ///< Between two tokens of a model answer.
    std::chrono::milliseconds answerTarget { 30000 }; ///< Until the complete answer.
    Common::micro_money maxCostPerThousandTokens { 0 }; ///< Zero: no limit.
    int priority { 0 }; ///< 0 to 9; sent to the model engine with each request.
};

struct client_account {
    Common::account_id id;
    std::string keyDigest; ///< What digestKey() returned for the account's key.
    uint32_t share { 1 }; ///< Weight of the account when capacity is scarce.
};

enum class version_state {
    Current, ///< Receives all traffic that is not routed to another version.
    TakingOver, ///< Being rolled out; receives a share of the traffic.
    RolledBack, ///< Withdrawn; receives no traffic.
};

/// A version of the endpoints of one service.
struct endpoint_version {
    std::string service;
    Common::version_name name;
    version_state state { version_state::Current };
    Common::wall_time startedAt;
    Common::wall_time deadline; ///< End of the rollout; zero: none.
    std::string cause; ///< Why it is in this state.
};

/// The whole configuration at one version of the version chain.
struct configuration {
    Common::config_version version;
    std::map<Common::class_name, class_of_work> classes;
    std::map<Common::account_id, client_account> accounts;
    std::map<std::string, endpoint_version> versions; ///< By "service/version".
};

/// @param service name of the service.
/// @param version name of the version.
/// @return the version's key in configuration::versions.
std::string versionKey(const std::string& service, const Common::version_name& version);

/// @param kind any class kind.
/// @return its name in the JSON of a change.
std::string_view nameOf(class_kind kind);
/// @param state any version state.
/// @return its name in the JSON of a change.
std::string_view nameOf(version_state state);

/// One missing or invalid member of a JSON object.
struct mistake {
    std::string member; ///< Name of the member.
    std::string value; ///< The rejected value, or "missing".
    std::string allowed; ///< Description of the allowed values.
};

/// A parsed value, or every invalid member.
template <typename value_type>
using parsed = tl::expected<value_type, std::vector<mistake>>;

/// @param body members of a class of work.
/// @return the class, or every invalid member.
parsed<class_of_work> parseClass(const nlohmann::json& body);
/// @param body members of a client account.
/// @return the account, or every invalid member.
parsed<client_account> parseAccount(const nlohmann::json& body);
/// @param body members of an endpoint version.
/// @return the version, or every invalid member.
parsed<endpoint_version> parseVersion(const nlohmann::json& body);

/// @param item the class of work.
/// @return its members, readable by parseClass.
nlohmann::ordered_json toJson(const class_of_work& item);
/// @param item the account.
/// @return its members, readable by parseAccount.
nlohmann::ordered_json toJson(const client_account& item);
/// @param item the version.
/// @return its members, readable by parseVersion.
nlohmann::ordered_json toJson(const endpoint_version& item);
/// @param state the configuration.
/// @return the whole configuration as one object, readable by parseConfiguration.
nlohmann::ordered_json toJson(const configuration& state);
/// @param body the JSON of a whole configuration, as returned by toJson.
/// @return the configuration, or the invalid members of the first invalid object.
parsed<configuration> parseConfiguration(const nlohmann::json& body);

} // namespace Configuration
