#pragma once

/// @file
/// The requests that a limited endpoint takes, as its owner grants them to the nodes: one token for each request. The owner is
/// the node that rendezvous hashing ranks first; the next one grants a small part to nodes that get no answer from it. All
/// other nodes grant nothing. Reads no clock and no socket.

#include "Common/Ids.h"

#include <cstdint>
#include <map>

namespace EndpointLimits {

using std::chrono::milliseconds;

/// Part of the limit that the owner grants, and that the node ranked next grants besides. In four seconds nodes may use
/// one and a half times the limit.
constexpr double ownerShare = 0.97;
constexpr double backupShare = 0.15;
/// Tokens of this time are kept for nodes that ask later, minBucketCapacity at least.
constexpr milliseconds bucketTime { 350 };
constexpr double minBucketCapacity = 2;
/// A node that has asked within this time is expected to ask again.
constexpr milliseconds askerMemory { 4000 };
/// Time between two requests of one node for tokens of one endpoint: until a token becomes due to it, within these limits.
constexpr milliseconds askInterval { 290 };
/// Grows with the square of the nodes that ask, so that the owner hears less from all of them together the more they are.
constexpr std::chrono::microseconds askIntervalPerNodeSquared { 1500 };
constexpr milliseconds maxAskInterval { 30000 };

/// A node that asks for tokens.
struct asker {
    Common::instant askedAt;
    uint32_t wanted { 0 };
};

/// Tokens of one endpoint that may be granted.
struct token_bucket {
    double level { 0 };
    Common::instant refilledAt;
    std::map<Common::node_id, asker> askers;
};

struct token_decision {
    uint32_t count { 0 };
    milliseconds askAgainIn { askInterval };
};

/// Grants tokens in proportion to what the nodes want.
/// @param bucket changed in place.
/// @param perSecond the part of the endpoint's limit that this node grants.
/// @param node that asks.
/// @param wanted tokens that it asks for.
/// @param now current time.
/// @return tokens for the node, and when it may ask again.
token_decision grantTokens(token_bucket& bucket, double perSecond, const Common::node_id& node, uint32_t wanted, Common::instant now);

} // namespace EndpointLimits
