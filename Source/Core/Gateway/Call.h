#pragma once

/// @file
/// One request of a caller, from its arrival to the end of its response.

#include "Catalog/Catalog.h"
#include "Gateway/CallFlow.h"
#include "Gateway/CallerSession.h"
#include "Gateway/EndpointChannel.h"
#include "Gateway/EventStream.h"
#include "Gateway/ResponseBoundary.h"
#include "Gateway/WireFormat.h"
#include "Quarantine/CrashEvidence.h"
#include "Quota/Quota.h"
#include "Scheduling/Scheduler.h"

namespace Gateway {

/// Identifies a request within this process.
using call_id = Common::strong_type<struct call_id_tag, uint64_t>;

/// One attempt to have an endpoint run the request.
struct attempt {
    std::shared_ptr<endpoint_channel> channel;
    Scheduling::placement placement; ///< Of a relay: only the address.
    std::optional<Common::node_id> relayedTo; ///< The other node, if the attempt is a relay.
    Common::version_name version;
    Fleet::start_time started; ///< Of the endpoint.
    Common::instant begun;
    int status { 0 };
    std::optional<Common::instant> headReceived; ///< When the head of the response arrived.
    body_framing framing { body_framing::Length };
    bool isConnectionReused { false };
    response_facts response;
    std::string body; ///< Body of a response that is not streamed.
    boundary_scanner boundary; ///< Of that body.
    event_reader events; ///< Of a response that is streamed.
    bool isForOtherRequest { false }; ///< The response carries the attempt id of another request.
    bool hasEvents { false }; ///< The response is a stream of server-sent events.
    bool isStartRecorded { false }; ///< The start of the response was recorded for scheduling and usage.
};

/// A caller's request and its state in the gateway.
struct proxied_call {
    call_id id;
    caller_session_pointer session;
    arrived_request request;
    request_facts facts;
    Catalog::catalog_pointer catalog; ///< The catalog at arrival; keeps the route alive.
    const Catalog::route* route { nullptr };
    Common::account_id account;
    Common::service_name service;
    std::vector<Quarantine::fingerprint> fingerprints; ///< Of the whole request first.
    bool isTrial { false }; ///< It has a quarantined fingerprint and was let through.
    uint32_t urgency { 0 }; ///< 0 is the most urgent.
    double allowanceTaken { 0 }; ///< Charged to the account's allowance, in requests or tokens.
    bool isAwaitingLease { false }; ///< It waits until the owner of the account's allowance answers.
    bool isChargeLeftToRelay { false };
    double allowanceRefunded { 0 }; ///< Given back last.
    std::optional<Quota::grant> refusedGrant; ///< Set if the account's allowance was exceeded.
    bool isUsageRecorded { false }; ///< Added to the usage report.
    Common::instant arrived;
    Common::instant deadline;
    std::unique_ptr<boost::asio::steady_timer> timer; ///< Expires at the deadline.
    call_progress progress;
    std::set<Common::endpoint_id> triedEndpoints;
    std::set<Common::node_id> triedRelays;
    std::optional<attempt> currentAttempt; ///< The latest attempt; it may have ended.
    stream_position position;
    double firstByteMs { 0 }; ///< From arrival to the start of the response; zero before.
    uint32_t attemptCount { 0 };
    std::unique_ptr<boost::asio::steady_timer> tokenTimer; ///< Set while the request waits for a token of a limited endpoint.
    std::optional<Common::instant> tokenWaitEnd; ///< Set when it first waits for a token.
};

} // namespace Gateway
