#pragma once

/// @file
/// State shared by the parts of the control duty: the client for calls to the platform, and the fleet as known here.

#include "Control/ControlDuty.h"
#include "Control/StoreCallIntervals.h"
#include "Control/TrueTime.h"
#include "Lease/Lease.h"

namespace Control {

struct control_context {
    control_settings settings;
    Http::client client;
    Fleet::endpoint_registry endpoints;
    Catalog::catalog_pointer catalog;
    Fleet::node_map nodes; ///< All registered nodes, including this one.
    Store::store_era era; ///< The newest that the store has told.
    std::function<void()> onNewEra; ///< Called when `era` has risen, before the answer that told it is handled.
    std::optional<store_reading> storeClock; ///< Empty until the store has answered.
    Lease::lease_state lease;

    using answer_handler = std::function<void(const Store::rows_answer&)>;

    /// Calls the store and updates `storeClock` and `era` from its answer. An answer that tells of an earlier era is
    /// handed on as an unknown outcome: what it acknowledged may be gone.
    /// @param onAnswer called once, from the client's poll().
    void call(Http::outgoing_request&& request, answer_handler onAnswer);
    /// Sends a transaction to the store.
    /// @param onAnswer called once, from the client's poll().
    void commit(const Store::transaction& transaction, answer_handler onAnswer);
    /// Raises `era` if the store has told a newer one.
    void observeEra(Store::store_era told);
    /// @return IP address and port of the store.
    const std::string& storeAddress() const;
    /// @return this node as the issuer of orders, with the fencing token of its last lease renewal.
    Scaling::order_issuer issuer() const;
    /// @return true time from the median clock offset of the nodes; nothing before the store has answered or while no
    /// node's offset is known.
    std::optional<Usage::true_time> trueTime(Common::instant now) const;
};

} // namespace Control
