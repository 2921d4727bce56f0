/// @file
/// Where requests with home regions may go: to endpoints, to nodes that relay them, and after a change of the catalog.

#include "Gateway/HomeRegions.h"
#include "Gateway/Placement.h"
#include "Gateway/Relay.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Gateway;

using homes = std::optional<Catalog::home_regions>;
using regions = Catalog::home_regions;

const Common::instant now = Common::instant(std::chrono::hours(1));

Catalog::catalog_pointer makeCatalog(uint64_t version, const homes& routeHomes, const homes& accountHomes)
{
    auto made = std::make_shared<Catalog::catalog>();
    made->version = version;
    Catalog::route route;
    route.name = { "r" };
    route.host = "h";
    route.prefix = "/p/";
    route.shares = { { { "s" }, 1 } };
    route.timeout = milliseconds(2000);
    route.homes = routeHomes;
    made->routes = { route };
    Catalog::account account;
    account.id = { "a" };
    account.keys = { "k" };
    account.homes = accountHomes;
    made->accounts = { account };
    Catalog::indexCatalog(*made);
    return made;
}

/// A node in region r0, with an endpoint and another node in each of the regions r0, r1 and r2.
gateway_state makeState(const Catalog::catalog_pointer& catalog)
{
    gateway_state state;
    state.endpointLimits.self = { "n" };
    for (const char* number : { "0", "1", "2" }) {
        const Common::zone_name zone { std::string("z") + number };
        state.scheduler.ownLocation.regions[zone] = { std::string("r") + number };
        Fleet::endpoint item;
        item.id = { std::string("e") + number };
        item.service = { "s" };
        item.zone = zone;
        item.slots = 4;
        Scheduling::updateEndpoint(state.scheduler, item, now);
        state.relayPeers.push_back({ { std::string("n") + number }, "127.0.0.1:1", zone });
    }
    state.scheduler.ownLocation.zone = { "z0" };
    state.scheduler.ownLocation.region = { "r0" };
    applyMessage(state, catalog_update { catalog }, now);
    return state;
}

proxied_call makeCall(gateway_state& state)
{
    proxied_call call;
    call.arrived = now;
    call.request.method = "POST";
    call.request.target = "/p/x?q";
    call.request.headers = { { "Host", "h" } };
    call.facts.key = "k";
    admit(state, call);
    return call;
}

} // namespace

TEST_GROUP(HomeRegions) {};

// Guards against requests that leave the regions in which their route and their account must be served.
TEST(HomeRegions, RequestsGoToHomesOfRouteAndAccountOnly)
{
    struct row {
        const char* condition;
        homes route;
        homes account;
        std::set<std::string> endpoints; ///< At which the request may be placed, however often it is tried.
        std::set<std::string> relays;
    };
    const row rows[] = {
        { "no homes", {}, {}, { "e0", "e1", "e2" }, { "n0", "n1", "n2" } },
        { "the route's, not the node's region", regions { { "r1" } }, {}, { "e1" }, { "n1" } },
        { "the account's", {}, regions { { "r0" }, { "r2" } }, { "e0", "e2" }, { "n0", "n2" } },
        { "both", regions { { "r0" }, { "r1" } }, regions { { "r1" }, { "r2" } }, { "e1" }, { "n1" } },
        { "none in common", regions { { "r0" } }, regions { { "r1" } }, {}, {} },
        { "a region without endpoints", regions { { "r9" } }, {}, {}, {} },
        { "an empty list of the route", regions {}, {}, {}, {} },
        { "an empty list of the account", {}, regions {}, {}, {} },
        { "an empty list beside the other's homes", regions { { "r0" } }, regions {}, {}, {} },
    };
    for (const row& item : rows) {
        gateway_state state = makeState(makeCatalog(1, item.route, item.account));
        proxied_call call = makeCall(state);
        std::set<std::string> endpoints;
        for (auto placed = choosePlacement(state, call, now); placed; placed = choosePlacement(state, call, now)) {
            endpoints.insert(placed->endpoint.value);
            call.triedEndpoints.insert(placed->endpoint);
        }
        CHECK_TRUE_TEXT(endpoints == item.endpoints, item.condition);
        std::set<std::string> relays;
        for (auto peer = chooseRelay(state, call, {}, now); peer; peer = chooseRelay(state, call, {}, now)) {
            relays.insert(peer->node.value);
            call.triedRelays.insert(peer->node);
        }
        CHECK_TRUE_TEXT(relays == item.relays, item.condition);
    }
}

TEST(HomeRegions, ARequestThatNoHomeCanServeIsRefusedAtOnceWithItsReason)
{
    struct row {
        const char* condition;
        homes allowed;
        const char* reason;
    };
    const row rows[] = {
        { "endpoints elsewhere", regions { { "r9" } }, "no_endpoint_in_home_region" },
        { "no home at all", regions {}, "no_endpoint_in_home_region" },
        { "the home's endpoint was tried", regions { { "r1" } }, "no_endpoint_in_home_region" },
        { "no endpoint left anywhere", {}, "no_endpoint" },
    };
    for (const row& item : rows) {
        gateway_state state = makeState(makeCatalog(1, item.allowed, {}));
        proxied_call call = makeCall(state);
        call.triedEndpoints = { { "e1" } };
        if (!item.allowed)
            call.triedEndpoints = { { "e0" }, { "e1" }, { "e2" } };
        const auto placed = choosePlacement(state, call, now);
        CHECK_FALSE_TEXT(placed.has_value(), item.condition);
        const request_rejection rejection = rejectUnplaced(placed.error());
        CHECK_EQUAL_TEXT(503, rejection.status, item.condition);
        STRCMP_EQUAL_TEXT(item.reason, std::string(rejection.reason).c_str(), item.condition);
        CHECK_TRUE_TEXT(rejection.retryAfter && rejection.retryAfter->count() > 0, item.condition);
    }
}

TEST(HomeRegions, ARetryGoesByTheCatalogInForce)
{
    gateway_state state = makeState(makeCatalog(1, regions { { "r0" } }, {}));
    proxied_call call = makeCall(state);
    STRCMP_EQUAL("e0", choosePlacement(state, call, now)->endpoint.value.c_str());
    applyMessage(state, catalog_update { makeCatalog(2, regions { { "r2" } }, {}) }, now);
    STRCMP_EQUAL("e2", choosePlacement(state, call, now)->endpoint.value.c_str());
}
