#pragma once

/// @file
/// The endpoints that this node knows, from listings and notices. A fact belongs to one start of an endpoint: the same
/// id may start again. No clock, no socket.

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

/// Unix milliseconds of an endpoint's start; tells two starts under one id apart.
using start_time = Common::strong_type<struct start_time_tag, int64_t>;

struct endpoint {
    Common::endpoint_id id;
    start_time started;
    Common::service_name service;
    std::string address; ///< IP number and port.
    Common::zone_name zone;
    Common::version_name version;
    uint32_t slots { 1 };
    endpoint_phase phase { endpoint_phase::Ready };
    std::chrono::milliseconds warmUpLeft { 0 }; ///< How much longer it is slow after its start.
    bool isReclaimable { false };
    std::optional<std::chrono::milliseconds> leavesIn; ///< From the listing's moment on, when announced.
};

using endpoint_map = std::map<Common::endpoint_id, endpoint>;

/// Everything that is listed at one moment.
struct listing {
    std::vector<endpoint> endpoints;
};

/// One change of what this node believes.
enum class change_kind {
    Appeared,
    BeganLeaving,
    Disappeared,
    Restarted,
};

struct endpoint_change {
    change_kind kind { change_kind::Appeared };
    endpoint item;
};

struct endpoint_book {
    endpoint_map endpoints;
    /// Starts known to leave, also when a later and staler listing says otherwise.
    std::map<Common::endpoint_id, start_time> leaving;
    /// Entries that a listing no longer holds, since when; kept for a while after the store was away.
    std::map<Common::endpoint_id, Common::instant> missingSince;
    /// Until when a missing entry is not yet taken as gone.
    Common::instant toleratesMissingUntil;
};

/// How long after the return of the store a missing entry may still come back.
constexpr std::chrono::milliseconds entriesReturnWithin { 2200 };

/// Replaces what is known by a listing.
/// @param book changed in place.
/// @param heard the newest listing.
/// @param now the present time.
/// @return what changed.
std::vector<endpoint_change> applyListing(endpoint_book& book, const listing& heard, Common::instant now);

/// The store answers again after an outage.
void noteStoreReturned(endpoint_book& book, Common::instant now);

/// Takes entries that did not come back as gone, once the time for that is over; no new listing need tell it.
/// @return what changed.
std::vector<endpoint_change> dropMissing(endpoint_book& book, Common::instant now);

/// Someone else says that an endpoint leaves: a peer, or the endpoint itself.
/// @return the change, when it is news.
std::optional<endpoint_change> noteLeaving(endpoint_book& book, const Common::endpoint_id& id, start_time started);

/// @param kind any kind of change.
/// @return its stable name in logs.
const char* nameOf(change_kind kind);

} // namespace Fleet
