#pragma once

/// @file
/// Keeps the limits of endpoints across all nodes. A request to a limited endpoint needs a token, which the endpoint's owner
/// grants. Each endpoint has an owner among the nodes, so that no node hears of all endpoints and no message goes from each
/// node to each other. Reads no clock and no socket.

#include "EndpointLimits/LimitTable.h"
#include "EndpointLimits/TokenBucket.h"
#include "EndpointLimits/WarmUps.h"

#include <deque>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace EndpointLimits {

/// A granted token is dropped when it wasn't used within this time.
constexpr milliseconds tokenLife { 1000 };
/// More tokens than this in one message, or in hand, are not believed.
constexpr uint32_t maxTokensInHand = 10000;
/// A node that has got no answer from an owner for this time asks the node ranked next as well.
constexpr milliseconds ownerTimeout { 700 };
constexpr milliseconds maxUnansweredInterval { 4000 };
/// Requests for tokens that a node sends per second, fewer the more nodes there are, and at once.
constexpr double maxAsksPerSecond = 15;
constexpr double minAsksPerSecond = 6;
constexpr double asksPerSecondOfAll = 120;
constexpr double maxAskBurst = 10;
/// An owner tells all nodes of a changed limit at most once in this time.
constexpr milliseconds broadcastInterval { 300 };

/// What a node knows of an endpoint's limit.
struct limit_statement {
    endpoint_start start;
    double perSecond { 0 }; ///< Zero: not limited.
    milliseconds age { 0 }; ///< Of the response that said so.
};

/// Asks an owner for tokens.
struct token_request {
    limit_statement known;
    uint32_t wanted { 0 };
};

/// Answers a token_request.
struct token_grant {
    limit_statement known;
    uint32_t count { 0 };
    milliseconds askAgainIn { askInterval };
};

using limit_message = std::variant<limit_statement, token_request, token_grant>;

struct outgoing_message {
    limit_message message;
    std::optional<Common::node_id> receiver; ///< Empty: all nodes.
};

/// This node's tokens for one endpoint, and its demand for more.
struct token_pool {
    std::deque<Common::instant> expiries; ///< Of the tokens in hand, oldest first.
    uint32_t demand { 0 }; ///< Tokens used or missed since the last request for more.
    Common::instant askedAt; ///< Last time.
    Common::instant nextAsk;
    std::optional<Common::instant> unansweredSince; ///< Time of the first request that the owner hasn't answered.
};

struct shared_limits {
    Common::node_id self;
    std::set<Common::node_id> peers;
    limit_table table;
    warm_up_map warmUps; ///< Of endpoints that are cold, or were.
    std::map<endpoint_start, token_pool> pools;
    std::map<endpoint_start, token_bucket> buckets; ///< Of endpoints that this node owns or is ranked next for.
    std::map<endpoint_start, Common::instant> broadcastAt; ///< Last time that this node told all others.
    std::vector<outgoing_message> outgoing; ///< To be sent; emptied by the sender.
    double asksLeft { maxAskBurst };
    Common::instant asksRefilledAt;
    uint64_t askRounds { 0 };
};

/// Records what a response at this node says; a change is told to the endpoint's owner.
/// @param perSecond the limit, at most maxPerSecond; zero if the response states none.
limit_change stateLimit(shared_limits& state, const endpoint_start& start, double perSecond, Common::instant now);

/// @return requests per second that the endpoint takes now, by what it has stated and because it is cold; zero if it isn't
/// limited.
double findRate(const shared_limits& state, const endpoint_start& start, Common::instant now);

/// @return all endpoints that may be limited now.
std::set<endpoint_start> findLimitedStarts(const shared_limits& state, Common::instant now);

/// @return whether a request may be sent to the endpoint now.
bool maySend(shared_limits& state, const endpoint_start& start, Common::instant now);

/// Uses a token for a request that is sent; nothing is needed for an endpoint without a limit.
void useToken(shared_limits& state, const endpoint_start& start, Common::instant now);

/// Records that a request would have been sent to the endpoint if there had been a token.
void recordMissedToken(shared_limits& state, const endpoint_start& start);

/// Asks the owners for the tokens that are missing, as far as it is time to.
/// @return whether this node has granted tokens to itself.
bool requestTokens(shared_limits& state, Common::instant now);

/// Applies what another node said; an answer may be added to the outgoing messages.
/// @return whether a request that waits for a token may have a better chance now, or none.
bool applyMessage(shared_limits& state, const Common::node_id& from, const limit_message& message, Common::instant now);

/// @return when this node asks for a token of the endpoint again; zero if no earlier request is to be waited for.
milliseconds timeToNextAsk(const shared_limits& state, const endpoint_start& start, Common::instant now);

/// @return whether an answer of the endpoint's owner is outstanding.
bool isAwaitingGrant(const shared_limits& state, const endpoint_start& start);

/// Forgets the tokens of endpoints that are not among the given ones.
void retainEndpoints(shared_limits& state, const Fleet::endpoint_map& endpoints);

} // namespace EndpointLimits
