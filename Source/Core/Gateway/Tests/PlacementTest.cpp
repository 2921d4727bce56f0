/// @file
/// Requests that endpoints with a limit don't take.

#include "Gateway/Placement.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Gateway;

const Common::instant now = Common::instant(std::chrono::hours(1));
const Common::service_name service { "s" };

gateway_state makeState(size_t endpoints, size_t limited)
{
    gateway_state state;
    state.endpointLimits.self = { "n0" };
    state.endpointLimits.peers = { { "n1" } };
    for (size_t number = 0; number < endpoints; ++number) {
        Fleet::endpoint item;
        item.id = { "e" + std::to_string(number) };
        item.started = { 1 };
        item.service = service;
        item.slots = 8;
        Scheduling::updateEndpoint(state.scheduler, item, now);
        if (number < limited)
            EndpointLimits::stateLimit(state.endpointLimits, { item.id, item.started }, 1, now);
    }
    return state;
}

proxied_call makeCall()
{
    proxied_call call;
    call.service = service;
    call.facts.model = Scheduling::model_request { "m", 1000, 50, {}, {} };
    call.arrived = now;
    call.deadline = now + milliseconds(3000);
    return call;
}

} // namespace

TEST_GROUP(Placement) {};

TEST(Placement, ARequestThatLimitedEndpointsDoNotTakeGoesElsewhereOrIsRefusedAndCountsAsDemand)
{
    struct row {
        const char* condition;
        size_t endpoints;
        size_t limited;
        bool isPlaced;
    };
    const row rows[] = {
        { "none is limited", 3, 0, true },
        { "one of three is limited", 3, 1, true },
        { "all are limited", 3, 3, false },
    };
    for (const row& item : rows) {
        gateway_state state = makeState(item.endpoints, item.limited);
        const proxied_call call = makeCall();
        const auto placed = choosePlacement(state, call, now);
        CHECK_EQUAL_TEXT(item.isPlaced, placed.has_value(), item.condition);
        CHECK_EQUAL_TEXT(item.isPlaced, state.interval.demand.engineMs.empty(), item.condition);
        if (placed)
            continue;
        CHECK_TEXT(placed.error().reason == Scheduling::refusal_reason::Limited, item.condition);
        CHECK_TEXT(placed.error().retryAfter.count() > 0, item.condition);
        CHECK_TEXT(state.interval.demand.engineMs.at(service) > 0, item.condition);
    }
}
