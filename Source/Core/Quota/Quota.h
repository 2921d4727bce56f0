#pragma once

/// @file
/// Rate limits of client accounts across all nodes. Each node keeps its own estimate of one token bucket per account,
/// which all nodes share, from its own grants and the reports of the other nodes. Reads no clock and opens no socket.

#include "Catalog/Catalog.h"
#include "Common/Ids.h"

#include <map>
#include <set>
#include <vector>

namespace Quota {

using std::chrono::milliseconds;

/// The amount that one node has granted to one account since the node's start, in the unit of the account's allowance.
struct granted_total {
    Common::account_id account;
    double total { 0 };
    double demandPerSecond { 0 }; ///< Moving average of the requested amount, granted or not.
};

/// A node's grants to all accounts, sent to the other nodes at short intervals.
struct node_report {
    Common::node_id node;
    Common::incarnation_number incarnation;
    std::vector<granted_total> accounts;
};

/// One account's figures in the last report of a peer.
struct peer_grants {
    double total { 0 };
    double demandPerSecond { 0 };
};

/// This node's estimate of the token bucket of one account.
struct account_bucket {
    Catalog::allowance allowed;
    double level { 0 }; ///< Negative after several nodes granted concurrently, or after an overdraft.
    Common::instant refilledAt;
    double granted { 0 }; ///< By this node since its start, less refunds.
    double grantedSinceReport { 0 }; ///< By this node since its last report.
    double demandPerSecond { 0 };
    double askedSinceReport { 0 }; ///< Requested from this node since its last report, granted or not.
    bool hasRefused { false }; ///< A request since this node's last report.
    std::map<Common::node_id, peer_grants> peers;
};

struct peer_state {
    Common::incarnation_number incarnation; ///< Zero before the first report.
    Common::instant lastReportAt; ///< Before the first report: when the peer was added.
};

/// The buckets of all accounts as this node estimates them, and the peers that share them.
struct quota_state {
    std::map<Common::account_id, account_bucket> accounts;
    std::map<Common::node_id, peer_state> peers; ///< The other nodes that may currently grant.
    Common::instant reportedAt; ///< Time of this node's last report.
    /// A peer without a report for longer is assumed to grant its equal share (1 / number of nodes), until its next
    /// report or until setPeers() drops it.
    milliseconds peerReportTimeout { 900 };
    bool startsEmpty { false }; ///< New buckets start at zero, as the burst may have been used up before a restart.
};

/// Applies the allowances of a catalog and removes the buckets of accounts that it doesn't list.
void setAllowances(quota_state& state, const Catalog::catalog& item, Common::instant now);
/// Sets the other nodes that may currently grant.
void setPeers(quota_state& state, const std::set<Common::node_id>& peers, Common::instant now);

struct grant {
    bool isGranted { true };
    milliseconds retryAfter { 0 }; ///< Earliest retry of a refused request.
    double level { 0 }; ///< Level of the shared bucket in this node's estimate; set for a refusal only.
    double share { 1 }; ///< The part of the level that this node may grant; set for a refusal only.
};

/// Deducts a request from its account's bucket if the allowance permits it.
/// @param state the buckets; a grant is recorded.
/// @param account the requesting account; one without a bucket or without a limit is always granted.
/// @param amount in the unit of the account's allowance.
/// @param now the current time.
/// @return whether the request was granted, and when to retry it if not.
grant tryConsume(quota_state& state, const Common::account_id& account, double amount, Common::instant now);

/// Refunds a grant whose request is proven not to have run.
/// @param amount in the unit of the account's allowance.
void refund(quota_state& state, const Common::account_id& account, double amount);

/// What this node believes of an account that is at its limit, for the log.
struct limited_account {
    Common::account_id account;
    double level { 0 };
    double granted { 0 }; ///< By this node since its last report.
    double asked { 0 }; ///< From this node since its last report.
    double share { 1 }; ///< The part of the level that this node may grant.
    size_t peersKnown { 0 };
    size_t peersSilent { 0 };
};

/// @return the accounts of which a request was refused since the last report, or whose bucket is overdrawn while they ask.
std::vector<limited_account> describeLimited(const quota_state& state, Common::instant now);

/// Makes the periodic report to the other nodes and updates the demand averages.
/// @param state the buckets; a new report interval starts.
/// @param now the current time.
/// @return the grants and demand of all accounts; the caller sets node and incarnation.
node_report makeReport(quota_state& state, Common::instant now);

/// Deducts what another node has granted since its previous report. A report of a node that setPeers() didn't name is
/// ignored.
void applyReport(quota_state& state, const node_report& report, Common::instant now);

} // namespace Quota
