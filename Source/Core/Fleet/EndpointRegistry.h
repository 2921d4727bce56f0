#pragma once

/// @file
/// The endpoints that this node knows from listings of the store and from notices that an endpoint is leaving. State
/// belongs to one start of an endpoint, because an id may be started again. No clock, no socket.

#include "Common/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fleet {

enum class endpoint_phase {
    Ready,
    Leaving, ///< Takes no new work; work in progress may finish.
};

/// Unix milliseconds of an endpoint's start; distinguishes two starts under one id.
using start_time = Common::strong_type<struct start_time_tag, int64_t>;

struct endpoint {
    Common::endpoint_id id;
    start_time started;
    Common::service_name service;
    std::string address; ///< IP number and port.
    Common::zone_name zone;
    Common::version_name version;
    uint32_t slots { 1 }; ///< Requests that it runs at once.
    endpoint_phase phase { endpoint_phase::Ready };
    std::chrono::milliseconds warmUpLeft { 0 }; ///< Remaining time in which it is slow after its start.
    bool isReclaimable { false }; ///< The platform may take the instance back at short notice.
    std::optional<std::chrono::milliseconds> leavesIn; ///< Counted from the time of the listing; empty: not announced.
};

using endpoint_map = std::map<Common::endpoint_id, endpoint>;

/// All endpoints in the store's table at one time.
struct listing {
    std::vector<endpoint> endpoints;
};

enum class change_kind {
    Appeared,
    BeganLeaving,
    Disappeared,
    Restarted, ///< Same id with another start time or address.
};

struct endpoint_change {
    change_kind kind { change_kind::Appeared };
    endpoint item; ///< After the change; when it disappeared, its last state.
};

struct endpoint_registry {
    endpoint_map endpoints;
    /// Starts known to be leaving, of endpoints that are gone as well: a listing that arrives later may hold older data, and
    /// doesn't undo this.
    std::map<Common::endpoint_id, start_time> leaving;
    /// Endpoints missing from a listing, with the time of that listing; they are kept for a while after a store outage.
    std::map<Common::endpoint_id, Common::instant> missingSince;
    /// Until this time endpoints missing from a listing are not removed.
    Common::instant missingToleratedUntil;
};

/// With more marks than this, those of the earliest starts among the endpoints that are gone are dropped.
constexpr size_t maxLeavingMarks = 4096;

/// How long after the end of a store outage an endpoint may be missing from listings without being removed.
constexpr std::chrono::milliseconds missingEntryGrace { 2200 };

/// Updates the registry from a listing. An endpoint that was known to be leaving stays leaving.
/// @param registry changed in place.
/// @param latest the newest listing.
/// @param now current time.
/// @return the changes.
std::vector<endpoint_change> applyListing(endpoint_registry& registry, const listing& latest, Common::instant now);

/// Starts the period in which missing endpoints are kept: after an outage of the store, entries that are missing because
/// of it may still come back.
/// @param returnedAt when the store answered again, to this node or to the one that relays its changes.
void startMissingEntryGrace(endpoint_registry& registry, Common::instant returnedAt);

/// Removes the endpoints that are still missing when the period after an outage is over. Needs no further listing,
/// because none may come while the table doesn't change.
/// @return the changes.
std::vector<endpoint_change> removeExpiredMissing(endpoint_registry& registry, Common::instant now);

/// Marks an endpoint as leaving, on notice from a peer or from the endpoint itself.
/// @param started the start that the notice is about; a notice about another start is ignored.
/// @return the change; empty when nothing changed.
std::optional<endpoint_change> markLeaving(endpoint_registry& registry, const Common::endpoint_id& id, start_time started);

/// @param kind any kind of change.
/// @return its name in logs.
const char* nameOf(change_kind kind);

} // namespace Fleet
