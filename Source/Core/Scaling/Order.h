#pragma once

/// @file
/// Orders of endpoints to the cloud.

#include "Common/Ids.h"

namespace Scaling {

/// So many endpoints of a service in an availability zone. Each kind is ordered by itself.
struct order {
    Common::service_name service;
    Common::zone_name zone;
    bool isReclaimable { false };
    uint32_t desired { 0 };
};

/// Who gives an order, and the fencing token that proves it.
struct order_giver {
    Common::node_id node;
    uint64_t fence { 0 };
};

enum class order_outcome {
    Done,
    Fenced, ///< A newer fencing token was seen.
    NoneAvailable, ///< Nothing to be had there now.
    Refused, ///< Not carried out: rate or outage.
    Unknown, ///< No answer: it may be carried out later.
};

} // namespace Scaling
