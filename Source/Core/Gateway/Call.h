#pragma once

/// @file
/// One request of a caller from its arrival to its whole answer.

#include "Catalog/Catalog.h"
#include "Gateway/CallFlow.h"
#include "Gateway/CallerSession.h"
#include "Gateway/EndpointChannel.h"
#include "Gateway/EventStream.h"
#include "Gateway/WireFormat.h"
#include "Quota/Quota.h"
#include "Scheduling/Scheduler.h"

namespace Gateway {

/// Identifies a request within this process.
using call_id = Common::strong_type<struct call_id_tag, uint64_t>;

/// The attempt at an endpoint that is under way.
struct attempt {
    std::shared_ptr<endpoint_channel> channel;
    Scheduling::placement where;
    Common::version_name version;
    int status { 0 };
    answer_facts answer;
    std::string body; ///< Of an answer that is not streamed.
    bool isForeign { false }; ///< The answer belongs to another request.
    bool hasEvents { false }; ///< The answer is a stream of events.
    bool hasBegun { false };
};

struct call {
    call_id id;
    caller_session_pointer session;
    arrived_request request;
    request_facts facts;
    Catalog::catalog_pointer catalog; ///< Keeps the route alive.
    const Catalog::route* route { nullptr };
    Common::account_id account;
    Common::service_name service;
    uint32_t urgency { 0 };
    double granted { 0 }; ///< Taken from the account's allowance.
    std::optional<Quota::grant> overAllowance; ///< What the allowance was refused by.
    bool isCounted { false }; ///< Reported as begun.
    Common::instant arrived;
    Common::instant deadline;
    std::unique_ptr<boost::asio::steady_timer> timer;
    call_progress progress;
    std::set<Common::endpoint_id> tried;
    std::optional<attempt> current;
    event_reader events;
    double firstByteMs { 0 };
    uint32_t sends { 0 };
};

} // namespace Gateway
