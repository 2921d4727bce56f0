/// @file
/// Real duties whose threads don't run for a while and whose rings are full: what tells a state still arrives, the newest last.

#include "Control/ControlDuty.h"
#include "Gateway/GatewayDuty.h"
#include "Membership/PeerDuty.h"
#include "Platform/ScriptedEndpoint.h"
#include "platform/CallHeaders.h"
#include "platform/RolloutCodec.h"

#include "Common/Metrics.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <functional>
#include <future>
#include <thread>

namespace {

using namespace PlatformTests;

constexpr size_t moreThanAnyRing = 20000;

template <typename message>
struct row {
    const char* name;
    message item;
};

Fleet::node_facts makeFacts()
{
    Fleet::node_facts facts;
    facts.node = { "n1" };
    facts.listen.callers = "127.0.0.1:" + std::to_string(findFreePort());
    return facts;
}

Catalog::catalog_pointer makeCatalog(uint64_t version)
{
    auto catalog = std::make_shared<Catalog::catalog>();
    catalog->version = version;
    return catalog;
}

Gateway::gateway_settings makeGatewaySettings()
{
    Gateway::gateway_settings settings;
    settings.facts = makeFacts();
    settings.wire = PlatformAdapter::makeWireFormat();
    return settings;
}

Gateway::gateway_outlets makeGatewayOutlets()
{
    Gateway::gateway_outlets outlets;
    outlets.report = [](Gateway::interval_report&&) {};
    return outlets;
}

template <typename duty, typename event>
void fill(duty& receiver, const event& item)
{
    for (size_t sent = 0; sent < moreThanAnyRing; ++sent)
        static_cast<void>(receiver.submit(event(item)));
}

/// @return how many of the messages the duty has rejected.
template <typename duty, typename message, size_t count>
size_t countRejected(duty& receiver, const row<message> (&rows)[count])
{
    size_t rejected = 0;
    for (const row<message>& item : rows) {
        const bool isTaken = receiver.submit(message(item.item));
        printf("%s: %s\n", item.name, isTaken ? "taken" : "rejected");
        rejected += isTaken ? 0 : 1;
    }
    return rejected;
}

} // namespace

TEST_GROUP(StalledDuties) {};

/// A catalog that met a full ring of the gateway was dropped, and the node served the older one until the next version.
TEST(StalledDuties, AFullRingRejectsNoMessageThatTellsAState)
{
    const row<Gateway::gateway_message> toGateway[] = {
        { "catalog", Gateway::catalog_update { makeCatalog(2) } },
        { "endpoints", Gateway::endpoints_update {} },
        { "peers", Gateway::peers_update {} },
        { "size of the fleet", Gateway::fleet_size_update { 3 } },
        { "share of a version", Gateway::version_share_update { { "s" }, { { { "v2" }, 10 } } } },
        { "share of another service's version", Gateway::version_share_update { { "t" }, { { { "v2" }, 10 } } } },
        { "quarantined fingerprints", Gateway::quarantines_read {} },
        { "peers that relay", Gateway::relay_peers_update {} },
        { "leave", Gateway::leave_started {} },
    };
    Gateway::gateway_duty gateway(makeGatewaySettings(), makeGatewayOutlets());
    fill(gateway, Gateway::gateway_message(Gateway::grants_received {}));
    CHECK_EQUAL(0, countRejected(gateway, toGateway));

    const row<Control::control_message> toControl[] = {
        { "announced version", Control::catalog_version_announced { 2 } },
        { "dead nodes", Control::dead_nodes_updated {} },
        { "settings", Control::settings_reloaded {} },
        { "leave", Control::leave_started {} },
        { "left", Control::leave_finished {} },
    };
    Control::control_duty control({ makeFacts(), {}, PlatformAdapter::makePlatformCalls() }, {});
    fill(control, Control::control_message(Control::peer_demand_received {}));
    CHECK_EQUAL(0, countRejected(control, toControl));

    const row<Membership::peer_message> toPeers[] = {
        { "seeds", Membership::seeds_changed {} },
        { "version to announce", Membership::configuration_changed { { 2 } } },
        { "leave", Membership::leave_started {} },
    };
    Membership::peer_duty peers({}, {});
    fill(peers, Membership::peer_message(Membership::pull_catalog {}));
    CHECK_EQUAL(0, countRejected(peers, toPeers));
}

TEST(StalledDuties, AGatewayThatRunsAgainServesTheNewestCatalog)
{
    Gateway::gateway_outlets outlets = makeGatewayOutlets();
    std::promise<void> serving;
    outlets.servingStarted = [&serving, isSet = false]() mutable {
        if (!std::exchange(isSet, true))
            serving.set_value();
    };
    Gateway::gateway_duty gateway(makeGatewaySettings(), std::move(outlets));
    fill(gateway, Gateway::gateway_message(Gateway::grants_received {}));
    for (const uint64_t version : { 7, 8, 9 })
        static_cast<void>(gateway.submit(Gateway::catalog_update { makeCatalog(version) }));
    std::thread thread([&gateway] { gateway.run(); });
    const bool isServing = serving.get_future().wait_for(std::chrono::seconds(10)) == std::future_status::ready;
    gateway.stop();
    thread.join();
    CHECK(isServing);
    CHECK(Common::printMetrics().find("filbertreel_catalog_version 9\n") != std::string::npos);
}
