#pragma once

/// @file
/// What requests of other nodes hold up at an endpoint. A reported load is always somewhat old, and many nodes read the same
/// report; trusted as it is, it makes all of them choose the same endpoint. So a report counts the less the older it is: it
/// fades into the mean of the service's endpoints. Pure functions.

#include "Scheduling/Work.h"

#include <optional>

namespace Scheduling {

/// What a node has seen of the endpoints of one service.
struct service_load {
    /// The endpoints state how their machines' other work slows them down. Loads are estimated only for such services.
    bool hasSharedMachines { false };
    double meanOthers { 0 }; ///< Requests of other nodes at an endpoint.
    double meanUncachedTokens { 0 }; ///< Prompt tokens that a request has to be processed for.
    double meanFirstEventMs { 0 }; ///< From sending a request to its first event.
    double meanTotalMs { 0 }; ///< From sending a request to its end.
};

/// A load that an endpoint has reported to this node.
struct load_report {
    reported_load load;
    uint32_t own { 0 }; ///< Requests of this node at the endpoint at that time.
    Common::instant at;
};

/// Adds a report to the means of its service.
void recordReport(service_load& service, const load_report& report);

/// Adds a served request to the means of its service.
void recordServedRequest(service_load& service, double uncachedTokens, double firstEventMs, double totalMs);

/// @param service with shared machines.
/// @param report the newest one of the endpoint; empty if there is none.
/// @param now current time.
/// @return requests of other nodes at the endpoint.
double estimateOthers(const service_load& service, const std::optional<load_report>& report, Common::instant now);

/// @param others requests of other nodes at an endpoint.
/// @param msPerToken prefill time.
/// @return the time by which their prompts hold up a first event, in milliseconds.
double estimatePrefillOfOthersMs(const service_load& service, double others, double msPerToken);

/// @return the factor by which the machine's other work slows the endpoint down now; 1 when nothing recent is known.
double estimatePace(const std::optional<load_report>& report, Common::instant now);

} // namespace Scheduling
