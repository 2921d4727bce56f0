#pragma once

/// @file
/// Rate limits of client accounts across all nodes. Each account has an owner among the nodes, which alone refills its token
/// bucket; every node grants from tokens that it has leased from the owner. Reads no clock and opens no socket.

#include "Catalog/Catalog.h"
#include "Common/Ids.h"
#include "Common/Random.h"
#include "Common/RankedOwners.h"
#include "Quota/LeaseBucket.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace Quota {

/// A request waits no longer than this for an owner's answer.
constexpr milliseconds maxLeaseWait { 400 };
/// Leases that have expired unused are given back this often.
constexpr milliseconds returnInterval { 500 };
/// Requests that wait are tried again this often.
constexpr milliseconds leaseWaitInterval { 20 };

using lease_message = std::variant<lease_ask, lease_answer>;

struct outgoing_lease {
    Common::node_id receiver;
    lease_message message;
};

/// The amount that one node has granted to one account since the node's start, in the unit of the account's allowance.
struct granted_total {
    Common::account_id account;
    double total { 0 };
    double demandPerSecond { 0 }; ///< Moving average of the requested amount, granted or not.
};

/// A node's grants to all accounts, for nodes of builds that don't lease.
struct node_report {
    Common::node_id node;
    Common::incarnation_number incarnation;
    std::vector<granted_total> accounts;
    bool isLeasing { false }; ///< The reporting node leases what it grants.
};

/// One ask that an owner hasn't answered.
struct unanswered_ask {
    uint64_t sequence { 0 };
    Common::instant sentAt;
    double used { 0 };
};

/// This node's lease of one account.
struct account_lease {
    Catalog::allowance allowed;
    Common::ranked_owners owners;
    double used { 0 }; ///< Granted by this node since its start, less refunds.
    double settled { 0 }; ///< The part of it that an owner has accounted for.
    double credited { 0 }; ///< Up to this the node may use tokens until usableUntil.
    Common::instant usableUntil;
    double demandPerSecond { 0 };
    double requestsPerSecond { 0 };
    Common::instant demandAt;
    std::vector<unanswered_ask> asks; ///< Oldest first.
    std::optional<Common::instant> unansweredSince; ///< Time of the first ask that the owner hasn't answered.
    Common::instant nextAsk;
    bool isLimited { false }; ///< As the last answer said.
    double ownerLevel { 0 }; ///< As the last answer said.
    Common::instant answeredAt;
    Common::duration answerTime { 0 }; ///< Moving average; zero before the first answer.
    milliseconds retryAfter { 0 };
    bool hasOverdraft { false }; ///< Something was granted without a lease, and no owner has answered since.
    uint64_t overdraftSequence { 0 }; ///< Of the first ask that tells the owner of it; zero before.
    std::deque<double> waiting; ///< Amounts of the requests that wait, oldest first.
    double grantedSinceReport { 0 };
    double askedSinceReport { 0 };
    bool hasRefused { false }; ///< A request since this node's last report.
    std::map<Common::node_id, double> reported; ///< Totals in the last reports of nodes that don't lease.
};

struct peer_state {
    Common::incarnation_number incarnation; ///< Zero before the first report.
    Common::instant lastReportAt; ///< Before the first report: when the peer was added.
    bool isLeasing { true }; ///< As the last report said.
    Common::instant listedSince {}; ///< Zero if it was listed while this node had just been started.
    bool isLeaving { false };
};

/// The accounts' leases, the buckets that this node owns, and the peers that share them.
struct quota_state {
    Common::node_id self;
    Common::incarnation_number incarnation;
    std::map<Common::account_id, account_lease> accounts;
    std::map<Common::account_id, lease_bucket> buckets; ///< Of accounts that this node owns or is ranked next for.
    std::map<Common::node_id, peer_state> peers; ///< The other nodes that may currently grant.
    bool arePeersKnown { true }; ///< Before setPeers() nothing is granted if not set.
    Common::instant peersKnownSince;
    bool knowsWholeFleet { false }; ///< The peers are known to be complete.
    size_t expectedNodes { 0 }; ///< How many nodes the fleet had before this node was started; zero if unknown.
    std::optional<Common::instant> leavingSince; ///< Set when this node leaves.
    std::optional<Common::instant> nextOwnerChange; ///< When a node that was listed lately may become an owner.
    Common::instant reportedAt; ///< Time of this node's last report.
    milliseconds peerReportTimeout { 900 }; ///< A peer without a report for longer counts as silent.
    bool startsEmpty { false }; ///< New buckets start at zero, as the burst may have been used up before a restart.
    uint64_t lastSequence { 0 };
    Common::random_source random;
    std::vector<outgoing_lease> outgoing; ///< To be sent; emptied by the sender.
};

/// Applies the allowances of a catalog and removes the leases of accounts that it doesn't list.
void setAllowances(quota_state& state, const Catalog::catalog& item, Common::instant now);
/// Sets the other nodes that may currently grant.
void setPeers(quota_state& state, const std::set<Common::node_id>& peers, Common::instant now);
/// Sets which of the nodes leave; they own no account while others can.
/// @param leaving may contain this node.
void setLeaving(quota_state& state, const std::set<Common::node_id>& leaving, Common::instant now);

struct grant {
    bool isGranted { true };
    bool isPending { false }; ///< Not granted yet; the request may wait for the owner's answer.
    milliseconds retryAfter { 0 }; ///< Earliest retry of a refused request.
    double level { 0 }; ///< Level of the shared bucket as its owner last said; set unless granted.
    double inHand { 0 }; ///< Leased tokens; set unless granted.
};

/// Deducts a request from its account's lease if that suffices.
/// @param state a grant, or that the request waits, is recorded.
/// @param account the requesting account; one without a lease or without a limit is always granted.
/// @param amount in the unit of the account's allowance.
/// @param now the current time.
/// @return whether the request was granted; if it is pending, retryWaiting() or stopWaiting() must follow.
grant tryConsume(quota_state& state, const Common::account_id& account, double amount, Common::instant now);

/// The same for a request that waits; it goes on waiting unless it is granted.
grant retryWaiting(quota_state& state, const Common::account_id& account, double amount, Common::instant now);

/// Ends the wait of a request that isn't granted.
grant stopWaiting(quota_state& state, const Common::account_id& account, double amount, Common::instant now);

/// Refunds a grant whose request is proven not to have run.
/// @param amount in the unit of the account's allowance.
void refund(quota_state& state, const Common::account_id& account, double amount);

/// Applies an ask or an answer of another node; an answer may be added to the outgoing messages.
/// @return whether requests that wait may be granted now.
bool applyMessage(quota_state& state, const Common::node_id& from, const lease_message& message, Common::instant now);

/// Gives back leases that have expired unused.
void returnExpired(quota_state& state, Common::instant now);

/// What this node believes of an account that is at its limit, for the log.
struct limited_account {
    Common::account_id account;
    Common::node_id owner;
    double level { 0 }; ///< As the owner last said.
    double granted { 0 }; ///< By this node since its last report.
    double asked { 0 }; ///< From this node since its last report.
    double inHand { 0 }; ///< Leased tokens.
    double overdraft { 0 }; ///< Granted beyond the lease.
    size_t peersKnown { 0 };
    size_t peersSilent { 0 };
};

/// @return the accounts of which a request was refused since the last report, or that are overdrawn while they ask.
std::vector<limited_account> describeLimited(const quota_state& state, Common::instant now);

/// Makes the periodic report to the other nodes. It lists no account if all other nodes lease.
/// @param state a new report interval starts.
/// @param now the current time.
/// @return the grants and demand of all accounts; the caller sets node and incarnation.
node_report makeReport(quota_state& state, Common::instant now);

/// Deducts what a node that doesn't lease has granted since its previous report, if this node owns the account. A report of a
/// node that setPeers() didn't name is ignored.
void applyReport(quota_state& state, const node_report& report, Common::instant now);

} // namespace Quota
