#pragma once

/// @file
/// What the gateway knows and decides by. No clock, no socket.

#include "Fleet/NodeFacts.h"
#include "Gateway/Messages.h"
#include "Limits/RepeatBudget.h"
#include "Scheduling/Scheduler.h"

#include <map>
#include <optional>

namespace Gateway {

using std::chrono::milliseconds;

struct gateway_state {
    milliseconds grace { 8000 }; ///< From the begin of leaving to the end of the process.
    Catalog::catalog_pointer catalog; ///< Empty until the first one is known.
    Scheduling::scheduler_state scheduler;
    Quota::ledger quota;
    Limits::repeat_budgets repeats;
    std::map<Common::service_name, version_share_known> versionShares;
    interval_report interval; ///< Since the last report.
    std::optional<Common::instant> leavingSince;
};

/// @param facts what the platform tells this node of itself.
/// @param seed of its random draws.
/// @return the state of a gateway that knows no catalog and no endpoint yet.
gateway_state makeGatewayState(const Fleet::node_facts& facts, uint64_t seed);

/// @return the time between two reports: every node tells every other, so with more nodes each tells less often.
milliseconds reportWait(const gateway_state& state);

/// Takes what another duty tells.
/// @param state changed in place.
/// @param message the news; a catalog that is no newer changes nothing.
/// @param now the present time.
void learn(gateway_state& state, const catalog_known& message, Common::instant now);
void learn(gateway_state& state, const endpoints_known& message, Common::instant now);
void learn(gateway_state& state, const peers_known& message, Common::instant now);
void learn(gateway_state& state, const grants_heard& message, Common::instant now);
void learn(gateway_state& state, const version_share_known& message, Common::instant now);
void learn(gateway_state& state, const leave_begun& message, Common::instant now);

/// @param state its interval starts anew.
/// @param facts this node.
/// @param incarnation of this node's process.
/// @param inFlight requests in progress.
/// @param now the present time.
/// @return what the other duties need to know of the interval that ends now.
interval_report takeReport(gateway_state& state, const Fleet::node_facts& facts, Common::incarnation_number incarnation, size_t inFlight, Common::instant now);

} // namespace Gateway
