/// @file
/// Placement while availability zones are evacuated, and when they are taken back.

#include "Gateway/EndpointZones.h"
#include "Gateway/Placement.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Gateway;

const Common::instant now = Common::instant(std::chrono::hours(1));
constexpr milliseconds coldTime { 3000 };

gateway_state makeState(double coldPerSecond)
{
    gateway_state state;
    state.endpointLimits.self = { "n" };
    state.coldOvershoot = 1.5;
    state.coldSlack = 5;
    auto made = std::make_shared<Catalog::catalog>();
    made->version = 1;
    Catalog::service service;
    service.name = { "s" };
    service.coldPerSecond = coldPerSecond;
    service.coldTime = coldTime;
    made->services.emplace(service.name, service);
    for (const char* number : { "0", "1" }) {
        Fleet::endpoint item;
        item.id = { std::string("e") + number };
        item.service = { "s" };
        item.zone = { std::string("z") + number };
        item.slots = 4;
        Scheduling::updateEndpoint(state.scheduler, item, now);
    }
    state.scheduler.ownLocation.zone = { "z0" };
    applyMessage(state, catalog_update { made }, now);
    return state;
}

proxied_call makeCall()
{
    proxied_call call;
    call.service = { "s" };
    call.arrived = now;
    call.deadline = now + milliseconds(20000);
    return call;
}

} // namespace

TEST_GROUP(EndpointZones) {};

// Guards against first and further attempts at endpoints of a zone that an operator has evacuated.
TEST(EndpointZones, EndpointsOfEvacuatedZonesGetNothing)
{
    struct row {
        const char* condition;
        std::set<Common::zone_name> zones;
        std::set<Common::endpoint_id> tried;
        const char* endpoint; ///< Empty: the request is refused.
    };
    const row rows[] = {
        { "none evacuated", {}, {}, "e0" },
        { "the node's own zone", { { "z0" } }, {}, "e1" },
        { "another attempt", { { "z0" } }, { { "e1" } }, "" },
        { "all zones", { { "z0" }, { "z1" } }, {}, "" },
    };
    for (const row& item : rows) {
        gateway_state state = makeState(0);
        applyMessage(state, evacuations_update { item.zones }, now);
        proxied_call call = makeCall();
        call.triedEndpoints = item.tried;
        const auto placed = choosePlacement(state, call, now);
        STRCMP_EQUAL_TEXT(item.endpoint, placed ? placed->endpoint.value.c_str() : "", item.condition);
    }
}

// Guards against all nodes rushing to the idle endpoints of a zone that is taken back.
TEST(EndpointZones, EndpointsOfAZoneThatIsTakenBackCountAsCold)
{
    struct row {
        const char* condition;
        double coldPerSecond;
        int ms; ///< Since the zone was taken back.
        bool isLimited;
    };
    const row rows[] = {
        { "at once", 9, 0, true },
        { "just before the cold time ends", 9, 2999, true },
        { "after it", 9, 3000, false },
        { "a service that is never cold", 0, 0, false },
    };
    for (const row& item : rows) {
        gateway_state state = makeState(item.coldPerSecond);
        applyMessage(state, evacuations_update { { { "z0" } } }, now);
        const Common::instant takenBack = now + milliseconds(5000);
        applyMessage(state, evacuations_update { {} }, takenBack);
        const bool isLimited = EndpointLimits::findRate(state.endpointLimits, { { "e0" }, {} }, takenBack + milliseconds(item.ms)) > 0;
        CHECK_EQUAL_TEXT(item.isLimited, isLimited, item.condition);
        CHECK_TRUE_TEXT(EndpointLimits::findRate(state.endpointLimits, { { "e1" }, {} }, takenBack) <= 0, item.condition);
    }
}
