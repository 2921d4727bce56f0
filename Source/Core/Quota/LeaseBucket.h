#pragma once

/// @file
/// The token bucket of one account, as the account's owner keeps it for all nodes. The owner leases tokens to the nodes that
/// ask; nobody else refills the bucket. Reads no clock and no socket.

#include "Catalog/Catalog.h"
#include "Common/Ids.h"

#include <map>
#include <optional>

namespace Quota {

using std::chrono::milliseconds;

/// Leased tokens are usable for this time after they were asked for.
constexpr milliseconds leaseLife { 1000 };

/// @return the tokens that an account saves at most while it asks for none. An account without a burst, or with a short one,
/// saves those of a quarter of a second, as otherwise it would lose what comes between two asks.
double savedTokens(const Catalog::allowance& allowed);

/// Asks an owner for tokens and tells it what was used. Amounts are in the unit of the allowance. Totals count from the start
/// of the asking process, so that a lost or doubled message changes nothing.
struct lease_ask {
    Common::account_id account;
    Common::incarnation_number incarnation; ///< Of the asking process.
    uint64_t sequence { 0 };
    double used { 0 }; ///< Total of granted requests, less refunds.
    double settled { 0 }; ///< The part of it that an owner has accounted for.
    double need { 0 }; ///< Less is of no use; zero if no request waits.
    double waiting { 0 }; ///< Of all requests that wait.
    double wanted { 0 }; ///< For them and ahead of need.
    bool isSettled { true }; ///< The asking node has known the other nodes for some time.
};

/// Answers a lease_ask with the same incarnation and sequence.
struct lease_answer {
    Common::account_id account;
    Common::incarnation_number incarnation;
    uint64_t sequence { 0 };
    double credited { 0 }; ///< Total up to which the node may use tokens.
    double level { 0 }; ///< Of the bucket, after the lease.
    bool isLimited { false }; ///< The needed tokens were not there.
    milliseconds retryAfter { 0 }; ///< Until they are, if isLimited.
};

/// A node's lease of one account.
struct lease_holder {
    Common::incarnation_number incarnation;
    uint64_t sequence { 0 };
    double credited { 0 };
    double ahead { 0 }; ///< Leased ahead of need, probably not used yet.
    Common::instant askedAt;
};

struct lease_bucket {
    double level { 0 }; ///< Negative after nodes granted more than they had leased.
    Common::instant refilledAt;
    double largestNeed { 0 };
    bool isBackup { false };
    std::map<Common::node_id, lease_holder> holders;
};

/// The part of an account's rate that an owner grants at the moment.
struct granting_part {
    Catalog::allowance allowed;
    double share { 1 };
};

/// Refills a bucket up to the burst, or up to the largest request if that is more, less what is leased.
void refill(lease_bucket& bucket, const granting_part& part, Common::instant now);

/// @return the answer; nothing if the message is older than one that was applied.
std::optional<lease_answer> answerAsk(lease_bucket& bucket, const granting_part& part, const Common::node_id& node, const lease_ask& ask, Common::instant now);

} // namespace Quota
