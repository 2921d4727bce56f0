#pragma once

/// @file
/// Which accounts this node keeps for all nodes, and its answers to those that ask.

#include "Quota/Quota.h"

namespace Quota {

/// Determines the owners of all accounts anew; a bucket is kept only while this node's part in it stays the same.
void updateOwners(quota_state& state, Common::instant now);

/// The same if a node that was listed lately may own accounts from now on.
void refreshOwners(quota_state& state, Common::instant now);

/// @return whether this node may rely on the peers that it knows; false shortly after it was started anew.
bool isSettled(const quota_state& state, Common::instant now);

/// @return whether this node has known any peers for a short time only.
bool isJustStarted(const quota_state& state, Common::instant now);

/// Answers an ask for an account whose bucket this node keeps; nothing if it keeps none, or if the ask is outdated.
std::optional<lease_answer> answerForAll(quota_state& state, const Common::node_id& node, const lease_ask& ask, Common::instant now);

/// Deducts from the account's bucket, if this node keeps it, what a node granted without a lease.
void deductUnleased(quota_state& state, const Common::account_id& account, double amount, Common::instant now);

} // namespace Quota
