#pragma once

/// @file
/// What client accounts may take over all nodes together. Each node keeps its own estimate of one shared bucket per
/// account, from its own grants and from what the others report. Pure: no clock, no socket.

#include "Catalog/Catalog.h"
#include "Common/Ids.h"

#include <map>
#include <set>
#include <vector>

namespace Quota {

using std::chrono::milliseconds;

/// What one node has granted to one account since it started, in the unit of the allowance.
struct granted_total {
    Common::account_id account;
    double total { 0 };
    double demandPerSecond { 0 }; ///< Asked for lately, granted or not.
};

/// What a node tells the others at short intervals.
struct node_report {
    Common::node_id node;
    Common::incarnation_number incarnation;
    std::vector<granted_total> accounts;
};

/// What a peer has told of one account.
struct peer_grants {
    double total { 0 };
    double demandPerSecond { 0 };
};

struct account_bucket {
    Catalog::allowance allowed;
    double level { 0 }; ///< Below zero after grants that the nodes made at the same time.
    Common::instant refilledAt;
    double granted { 0 }; ///< By this node since its start.
    double sinceExchange { 0 }; ///< Granted by this node since it last heard of the others.
    double demandPerSecond { 0 };
    double askedSinceReport { 0 };
    std::map<Common::node_id, peer_grants> peers;
};

struct peer_state {
    Common::incarnation_number incarnation;
    Common::instant heardAt;
};

struct ledger {
    std::map<Common::account_id, account_bucket> accounts;
    std::map<Common::node_id, peer_state> peers; ///< Nodes that may be granting now.
    Common::instant reportedAt;
    /// A peer silent for longer is charged with its equal share until it is heard again or leaves the set of nodes.
    milliseconds silence { 900 };
    bool startsEmpty { false }; ///< The allowances may have been used up before this process started.
};

/// Puts the allowances of a catalog in force.
void setAllowances(ledger& state, const Catalog::catalog& item, Common::instant now);
/// Sets which other nodes may be granting.
void setPeers(ledger& state, const std::set<Common::node_id>& peers, Common::instant now);

struct grant {
    bool isGranted { true };
    milliseconds retryAfter { 0 }; ///< When the account may ask again, if it was not granted.
    double level { 0 }; ///< Left of the shared bucket, as this node knows it.
    double share { 1 }; ///< This node's part of it.
};

/// @param state the buckets; a grant is recorded.
/// @param account who asks.
/// @param amount in the unit of the account's allowance.
/// @param now the present time.
/// @return whether the request lies within the allowance.
grant take(ledger& state, const Common::account_id& account, double amount, Common::instant now);

/// A granted request was proven not to have run.
void giveBack(ledger& state, const Common::account_id& account, double amount);

/// @param state the buckets; the interval of demand starts anew.
/// @param now the present time.
/// @return what the other nodes need to know.
node_report makeReport(ledger& state, Common::instant now);

/// Takes another node's report in.
void hearReport(ledger& state, const node_report& report, Common::instant now);

} // namespace Quota
