#pragma once

/// @file
/// What the parts of the control duty share: the client to the platform, and what this node knows of the fleet.

#include "Control/ControlDuty.h"
#include "Control/Pace.h"
#include "Control/TrueTime.h"
#include "Lease/Lease.h"

namespace Control {

struct control_context {
    control_settings settings;
    Http::client client;
    Fleet::endpoint_book endpoints;
    Catalog::catalog_pointer catalog;
    Fleet::node_map nodes;
    std::optional<store_reading> storeClock;
    Lease::lease_state lease;

    using answer_handler = std::function<void(const Store::rows_answer&)>;

    /// Calls the store.
    /// @param onAnswer called once, from the client's poll().
    void call(Http::outgoing_request&& request, answer_handler onAnswer);
    /// Applies a transaction.
    void commit(const Store::transaction& item, answer_handler onAnswer);
    /// @return IP number and port of the store.
    const std::string& storeAddress() const;
    /// @return who this node is to the cloud, with the fencing token of the newest renewal.
    Scaling::order_giver giver() const;
    /// @return true time by the median of the nodes' offsets; nothing before the store has answered.
    std::optional<Usage::true_time> trueTime(Common::instant now) const;
};

} // namespace Control
