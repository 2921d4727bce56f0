#pragma once

/// @file
/// How the platform's store and cloud are called; supplied by the adapter.

#include "Catalog/Catalog.h"
#include "Fleet/EndpointBook.h"
#include "Http/Client.h"
#include "Scaling/Order.h"
#include "Store/Rows.h"
#include "Usage/Usage.h"

#include <optional>

namespace Control {

/// An operator's order to move a service's traffic to another version.
struct rollout_order {
    Common::service_name service;
    Common::version_name to;
    std::chrono::milliseconds time { 0 }; ///< Until it has to be finished.
};

/// How far a rollout is, as operators see it.
enum class rollout_status {
    InProgress,
    Completed,
    Reverted,
};

/// Requests to the store and the cloud, and what their answers say.
struct platform_calls {
    Http::outgoing_request (*rows)(const std::string& address, const Store::range& asked) { nullptr };
    Http::outgoing_request (*changes)(const std::string& address, const Store::change_query& asked) { nullptr };
    Http::outgoing_request (*transaction)(const std::string& address, const Store::transaction& item) { nullptr };
    Store::rows_answer (*storeAnswer)(const Http::transfer_answer& answer) { nullptr };
    Http::outgoing_request (*usage)(const std::string& address, const Scaling::order_giver& giver, Usage::window_number window, const Usage::account_counts& counts) { nullptr };
    Http::outgoing_request (*order)(const std::string& address, const Scaling::order_giver& giver, const Scaling::order& item) { nullptr };
    Scaling::order_outcome (*dutyAnswer)(const Http::transfer_answer& answer) { nullptr };
    const char* operatorTable { "" };
    const char* endpointTable { "" };
    const char* statusTable { "" };
    const char* catalogKey { "" }; ///< Of the catalog among the operator's rows.
    /// @return the newest catalog among the operator's rows, or null when there is none that can be read.
    Catalog::catalog_pointer (*catalog)(const std::map<std::string, Store::row>& rows, uint64_t newerThan) { nullptr };
    /// @return the rollouts that operators have ordered.
    std::vector<rollout_order> (*rollouts)(const std::map<std::string, Store::row>& rows) { nullptr };
    Fleet::listing (*endpoints)(const std::map<std::string, Store::row>& rows) { nullptr };
    Store::row_write (*rolloutStatus)(const rollout_order& order, rollout_status status) { nullptr };
    std::optional<rollout_status> (*readRolloutStatus)(const Store::row& item, const rollout_order& order) { nullptr };
};

} // namespace Control
