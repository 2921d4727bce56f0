#pragma once

/// @file
/// Orders for endpoints, sent to the cloud.

#include "Common/Ids.h"

namespace Scaling {

/// Desired number of endpoints of a service in an availability zone. Reclaimable and plain endpoints are ordered
/// separately.
struct order {
    Common::service_name service;
    Common::zone_name zone;
    bool isReclaimable { false };
    uint32_t desired { 0 };
};

/// Issuer of an order, and the fencing token of its lease.
struct order_issuer {
    Common::node_id node;
    uint64_t fence { 0 };
};

enum class order_outcome {
    Done,
    Fenced, ///< The cloud has already seen a newer fencing token.
    NoneAvailable, ///< The zone has no capacity at the moment.
    Refused, ///< Not executed: rate limit or outage.
    Unknown, ///< No answer: the order may still be executed later.
};

} // namespace Scaling
