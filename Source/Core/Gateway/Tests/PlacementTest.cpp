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

namespace {

struct listed_version {
    const char* version;
    Fleet::endpoint_phase phase;
    const char* zone;
};

gateway_state makeStateOf(const std::vector<listed_version>& listed)
{
    gateway_state state;
    for (size_t number = 0; number < listed.size(); ++number) {
        Fleet::endpoint item;
        item.id = { "e" + std::to_string(number) };
        item.service = service;
        item.version = { listed[number].version };
        item.zone = { listed[number].zone };
        item.phase = listed[number].phase;
        item.slots = 8;
        Scheduling::updateEndpoint(state.scheduler, item, now);
    }
    return state;
}

} // namespace

// Guards against requests that are refused during a rollout although an endpoint of the service is ready.
TEST(Placement, TheVersionOfARolloutServesBeyondItsShareOnlyWhenNoOtherIsReady)
{
    using Fleet::endpoint_phase;
    struct row {
        const char* condition;
        std::vector<listed_version> listed;
        std::map<Common::version_name, uint32_t> shares;
        const char* expected; ///< Version of the endpoint; empty: refused.
    };
    const row rows[] = {
        { "both are there, no share", { { "v1", endpoint_phase::Ready, "a" }, { "v2", endpoint_phase::Ready, "a" } }, { { { "v2" }, 0 } }, "v1" },
        { "both are there, all requests", { { "v1", endpoint_phase::Ready, "a" }, { "v2", endpoint_phase::Ready, "a" } }, { { { "v2" }, 1000 } }, "v2" },
        { "the new one alone, no share", { { "v2", endpoint_phase::Ready, "a" } }, { { { "v2" }, 0 } }, "v2" },
        { "the new one alone, all requests", { { "v2", endpoint_phase::Ready, "a" } }, { { { "v2" }, 1000 } }, "v2" },
        { "the old one is leaving", { { "v1", endpoint_phase::Leaving, "a" }, { "v2", endpoint_phase::Ready, "a" } }, { { { "v2" }, 0 } }, "v2" },
        { "the old one is in an evacuated zone", { { "v1", endpoint_phase::Ready, "b" }, { "v2", endpoint_phase::Ready, "a" } }, { { { "v2" }, 0 } }, "v2" },
        { "a third version", { { "v0", endpoint_phase::Ready, "a" }, { "v2", endpoint_phase::Ready, "a" } }, { { { "v2" }, 0 } }, "v0" },
        { "the old one alone, all requests", { { "v1", endpoint_phase::Ready, "a" } }, { { { "v2" }, 1000 } }, "v1" },
        { "none is ready", { { "v1", endpoint_phase::Leaving, "a" }, { "v2", endpoint_phase::Leaving, "a" } }, { { { "v2" }, 0 } }, "" },
        { "one is tried, one is held back", { { "v1", endpoint_phase::Ready, "a" }, { "v2", endpoint_phase::Ready, "a" }, { "v3", endpoint_phase::Ready, "a" } }, { { { "v2" }, 0 }, { { "v3" }, 1 } }, "v1" },
        { "one is tried, one is held back, no other", { { "v2", endpoint_phase::Ready, "a" }, { "v3", endpoint_phase::Ready, "a" } }, { { { "v2" }, 0 }, { { "v3" }, 1 } }, "v3" },
        { "only the one held back", { { "v2", endpoint_phase::Ready, "a" } }, { { { "v2" }, 0 }, { { "v3" }, 1 } }, "v2" },
        { "all go back, one is held back", { { "v1", endpoint_phase::Ready, "a" }, { "v2", endpoint_phase::Ready, "a" } }, { { { "v1" }, 1000 }, { { "v2" }, 0 } }, "v1" },
        { "all go back, only the one held back is left", { { "v2", endpoint_phase::Ready, "a" } }, { { { "v1" }, 1000 }, { { "v2" }, 0 } }, "v2" },
        { "all go back, another one is left", { { "v0", endpoint_phase::Ready, "a" }, { "v2", endpoint_phase::Ready, "a" } }, { { { "v1" }, 1000 }, { { "v2" }, 0 } }, "v0" },
    };
    for (const row& item : rows) {
        gateway_state state = makeStateOf(item.listed);
        state.evacuatedZones = { { "b" } };
        applyMessage(state, version_share_update { service, item.shares }, now);
        const auto placed = choosePlacement(state, makeCall(), now);
        const std::string version = placed ? state.scheduler.endpoints.at(placed->endpoint).facts.version.value : std::string();
        STRCMP_EQUAL_TEXT(item.expected, version.c_str(), item.condition);
    }
}

// Guards against a version on trial that gets the repeats of requests which every endpoint of the other version has seen.
TEST(Placement, ARequestThatAllOtherEndpointsHaveSeenIsNotSentToTheVersionOfARollout)
{
    gateway_state state = makeStateOf({ { "v1", Fleet::endpoint_phase::Ready, "a" }, { "v2", Fleet::endpoint_phase::Ready, "a" } });
    applyMessage(state, version_share_update { service, { { { "v2" }, 0 } } }, now);
    proxied_call call = makeCall();
    call.triedEndpoints = { { "e0" } };
    CHECK_FALSE(choosePlacement(state, call, now).has_value());
}
