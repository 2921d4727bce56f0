#pragma once

/// @file
/// Functions that build calls to the platform's store and cloud and parse the answers. The platform adapter supplies
/// them.

#include "Catalog/Catalog.h"
#include "Fleet/EndpointRegistry.h"
#include "Http/Client.h"
#include "Scaling/Order.h"
#include "Store/Rows.h"
#include "Usage/Usage.h"

#include <optional>
#include <set>

namespace Control {

/// An operator's order to move a service's traffic to another version.
struct rollout_order {
    Common::service_name service;
    Common::version_name to;
    std::chrono::milliseconds time { 0 }; ///< Time limit, counted from when the order is seen.
};

/// Status of a rollout as reported to operators.
enum class rollout_status {
    InProgress,
    Completed,
    Reverted,
};

/// Builders of requests to the store and the cloud, and parsers of their answers.
struct platform_calls {
    Http::outgoing_request (*rows)(const std::string& address, const Store::range& range) { nullptr };
    Http::outgoing_request (*changes)(const std::string& address, const Store::change_query& query) { nullptr };
    Http::outgoing_request (*transaction)(const std::string& address, const Store::transaction& transaction) { nullptr };
    Store::rows_answer (*storeAnswer)(const Http::transfer_answer& answer) { nullptr };
    Http::outgoing_request (*usage)(const std::string& address, const Scaling::order_issuer& issuer, Usage::window_number window, const Usage::account_counts& counts) { nullptr };
    Http::outgoing_request (*order)(const std::string& address, const Scaling::order_issuer& issuer, const Scaling::order& order) { nullptr };
    Scaling::order_outcome (*dutyAnswer)(const Http::transfer_answer& answer) { nullptr };
    const char* operatorTable { "" };
    const char* endpointTable { "" };
    const char* statusTable { "" };
    const char* catalogKey { "" }; ///< Key of the catalog in the operator's table.
    /// @return the catalog among the operator's rows, or null when it is missing, unreadable or not newer than
    /// `newerThan`.
    Catalog::catalog_pointer (*catalog)(const std::map<std::string, Store::row>& rows, uint64_t newerThan) { nullptr };
    /// @return the rollouts ordered by operators.
    std::vector<rollout_order> (*rollouts)(const std::map<std::string, Store::row>& rows) { nullptr };
    /// @return the availability zones that operators want to get no requests.
    std::set<Common::zone_name> (*evacuatedZones)(const std::map<std::string, Store::row>& rows) { nullptr };
    Fleet::listing (*endpoints)(const std::map<std::string, Store::row>& rows) { nullptr };
    Store::row_write (*rolloutStatus)(const rollout_order& order, rollout_status status) { nullptr };
    std::optional<rollout_status> (*readRolloutStatus)(const Store::row& row, const rollout_order& order) { nullptr };
};

} // namespace Control
