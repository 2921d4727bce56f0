#pragma once

/// @file
/// Conversion between the protobuf messages about leases of accounts and the types of the gateway.

#include "Quota/Quota.h"

#include <optional>

namespace filbertreel::peer {
class account_lease;
}

namespace Membership {

/// @param item an ask or an answer.
/// @param record receives the encoded message.
void encodeLease(const Quota::lease_message& item, filbertreel::peer::account_lease& record);

/// @return the message; std::nullopt when its kind or an amount is invalid.
std::optional<Quota::lease_message> decodeLease(const filbertreel::peer::account_lease& record);

} // namespace Membership
