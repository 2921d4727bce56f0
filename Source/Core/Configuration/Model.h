#pragma once

/// @file
/// What operators configure: classes of work with their targets, client accounts and versions.

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
    Service, ///< Served by a plain service beside the engines.
};

/// A class of work and the target that the system has to meet for it.
struct class_of_work {
    Common::class_name name;
    class_kind kind { class_kind::Model };
    std::string service; ///< The model or service whose endpoints serve the class.
    bool isIdempotent { true };
    std::chrono::milliseconds firstTokenTarget { 810 };
    std::chrono::milliseconds betweenTokensTarget { 53 };
    std::chrono::milliseconds answerTarget { 30000 };
    Common::micro_money maxCostPerThousandTokens { 0 }; ///< Zero: no bound.
    int priority { 0 };
};

struct client_account {
    Common::account_id id;
    std::string keyDigest;
    uint32_t share { 1 }; ///< Weight of the account when capacity is short.
};

enum class version_state {
    Current, ///< Takes all traffic that no other version takes.
    TakingOver, ///< Being rolled out.
    TakenBack, ///< Withdrawn; receives nothing.
};

/// A version of the endpoints of one service.
struct endpoint_version {
    std::string service;
    Common::version_name name;
    version_state state { version_state::Current };
    Common::wall_time startedAt;
    Common::wall_time deadline; ///< Zero: none.
    std::string cause; ///< Why it is in this state.
};

/// The whole configuration at one version of the chain.
struct configuration {
    Common::config_version version;
    std::map<Common::class_name, class_of_work> classes;
    std::map<Common::account_id, client_account> accounts;
    std::map<std::string, endpoint_version> versions; ///< By "service/version".
};

/// @param service a service's name.
/// @param version a version's name.
/// @return its key in configuration::versions.
std::string versionKey(const std::string& service, const Common::version_name& version);

/// @param kind a class kind.
/// @return its name in changes.
std::string_view nameOf(class_kind kind);
/// @param state a version state.
/// @return its name in changes.
std::string_view nameOf(version_state state);

/// One rejected member of a change.
struct mistake {
    std::string member;
    std::string value;
    std::string allowed;
};

template <typename value_type>
using parsed = tl::expected<value_type, std::vector<mistake>>;

/// @param body members of a class of work.
/// @return the class, or every mistake in it.
parsed<class_of_work> parseClass(const nlohmann::json& body);
/// @param body members of a client account.
/// @return the account, or every mistake in it.
parsed<client_account> parseAccount(const nlohmann::json& body);
/// @param body members of an endpoint version.
/// @return the version, or every mistake in it.
parsed<endpoint_version> parseVersion(const nlohmann::json& body);

nlohmann::ordered_json toJson(const class_of_work& item);
nlohmann::ordered_json toJson(const client_account& item);
nlohmann::ordered_json toJson(const endpoint_version& item);
/// @param state the configuration.
/// @return the whole configuration as one object, readable by parseConfiguration.
nlohmann::ordered_json toJson(const configuration& state);
/// @param body what toJson gave.
/// @return the configuration, or every mistake in it.
parsed<configuration> parseConfiguration(const nlohmann::json& body);

} // namespace Configuration
