#pragma once

/// @file
/// What a request is recognised by when it, or another one like it, comes again.

#include "Common/Ids.h"
#include "Scheduling/Work.h"

#include <string_view>
#include <vector>

namespace Quarantine {

/// Hash of what requests have in common: the whole request, or a part of its prompt. The same on every node.
using fingerprint = Common::strong_type<struct fingerprint_tag, uint64_t>;

/// What is the same each time a caller sends a request again.
struct request_identity {
    Common::service_name service;
    Common::account_id account;
    std::string_view method;
    std::string_view target; ///< Path and query.
    std::string_view body;
};

/// One account's requests never share a fingerprint with another's, so that none can get the other's requests refused.
/// @param identity of the request.
/// @param model its prompt; null for a plain request.
/// @return the fingerprint of the whole request, then those of the prompt parts that other requests may share: all but the
/// last.
std::vector<fingerprint> fingerprintsOf(const request_identity& identity, const Scheduling::model_request* model);

} // namespace Quarantine
