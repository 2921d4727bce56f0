#include "Platform/GatewayFleet.h"

#include "platform/CallHeaders.h"

#include <algorithm>

namespace PlatformTests {

gateway_fleet::gateway_fleet(size_t nodeCount, const std::vector<std::vector<scripted_answer>>& scripts)
    : listedCount(scripts.size())
    , m_members(nodeCount)
{
    for (const auto& script : scripts)
        endpoints.push_back(std::make_unique<scripted_endpoint>(script));
    for (member& item : m_members)
        item.port = findFreePort();
    for (size_t node = 0; node < nodeCount; ++node)
        start(node);
}

gateway_fleet::~gateway_fleet()
{
    for (size_t node = 0; node < m_members.size(); ++node)
        stop(node);
}

uint16_t gateway_fleet::port(size_t node) const
{
    return m_members[node].port;
}

size_t gateway_fleet::arrivalsWith(const std::string& text) const
{
    size_t count = 0;
    for (const auto& endpoint : endpoints) {
        const std::vector<std::string> requests = endpoint->requests();
        count += static_cast<size_t>(std::count_if(requests.begin(), requests.end(), [&text](const std::string& request) { return request.find(text) != std::string::npos; }));
    }
    return count;
}

Common::node_id gateway_fleet::idOf(size_t node)
{
    return { "n" + std::to_string(node) };
}

Fleet::endpoint_map gateway_fleet::listing(size_t node) const
{
    Fleet::endpoint_map listed;
    for (size_t number = 0; number < listedCount; ++number) {
        if (endpoints[number]->isDown())
            continue;
        Fleet::endpoint item;
        item.id = { "e" + std::to_string(number) };
        item.started = { endpoints[number]->restarts() };
        item.service = { "s" };
        item.zone = { "z" };
        item.address = addressFor ? addressFor(node, number) : endpoints[number]->address();
        listed[item.id] = item;
    }
    return listed;
}

void gateway_fleet::sendListing()
{
    for (size_t node = 0; node < m_members.size(); ++node)
        static_cast<void>(m_members[node].duty->submit(Gateway::endpoints_update { listing(node) }));
}

Gateway::relay_peers_update gateway_fleet::relayPeersOf(size_t node) const
{
    Gateway::relay_peers_update message;
    for (size_t peer = 0; peer < m_members.size(); ++peer) {
        if (peer != node)
            message.peers.push_back({ idOf(peer), "127.0.0.1:" + std::to_string(m_members[peer].port), { "z" } });
    }
    return message;
}

void gateway_fleet::start(size_t node)
{
    Gateway::gateway_settings settings;
    member& started = m_members[node];
    settings.facts.node = idOf(node);
    settings.facts.listen.callers = "127.0.0.1:" + std::to_string(started.port);
    settings.facts.zone = { "z" };
    settings.facts.isFirstStart = true;
    settings.wire = PlatformAdapter::makeWireFormat();
    Gateway::gateway_outlets outlets;
    outlets.report = [](Gateway::interval_report&&) {};
    outlets.sendQuarantineStatements = [this, node](std::vector<Quarantine::outgoing_statement>&& items) {
        for (const Quarantine::outgoing_statement& item : items)
            deliver(node, item);
    };
    outlets.sendEndpointLimits = [this, node](std::vector<EndpointLimits::outgoing_message>&& items) {
        for (const EndpointLimits::outgoing_message& item : items)
            deliver(node, item);
    };
    outlets.storeQuarantines = [this](std::vector<Quarantine::stored_quarantine>&& changes) { store(changes); };
    auto duty = std::make_unique<Gateway::gateway_duty>(settings, std::move(outlets));
    Gateway::peers_update known;
    for (size_t peer = 0; peer < m_members.size(); ++peer) {
        if (peer != node)
            known.peers.insert(idOf(peer));
    }
    static_cast<void>(duty->submit(std::move(known)));
    static_cast<void>(duty->submit(relayPeersOf(node)));
    static_cast<void>(duty->submit(readStored()));
    static_cast<void>(duty->submit(Gateway::catalog_update { makeTestCatalog() }));
    static_cast<void>(duty->submit(Gateway::endpoints_update { listing(node) }));
    {
        const std::lock_guard guard(m_mutex);
        started.duty = std::move(duty);
    }
    started.thread = std::thread([running = started.duty.get()] { running->run(); });
    waitUntilListening(started.port);
}

void gateway_fleet::stop(size_t node)
{
    member& stopped = m_members[node];
    stopped.duty->stop();
    stopped.thread.join();
    const std::lock_guard guard(m_mutex);
    stopped.duty.reset();
}

void gateway_fleet::restart(const std::vector<size_t>& nodes)
{
    for (const size_t node : nodes)
        stop(node);
    for (const size_t node : nodes)
        start(node);
}

void gateway_fleet::store(const std::vector<Quarantine::stored_quarantine>& changes)
{
    const std::lock_guard guard(m_mutex);
    for (const Quarantine::stored_quarantine& item : changes) {
        if (item.isRemoved)
            m_stored.erase(item.subject);
        else
            m_stored[item.subject] = item;
    }
}

Gateway::quarantines_read gateway_fleet::readStored()
{
    const std::lock_guard guard(m_mutex);
    Gateway::quarantines_read message;
    for (const auto& [subject, item] : m_stored)
        message.items.push_back(item);
    return message;
}

void gateway_fleet::deliver(size_t from, const EndpointLimits::outgoing_message& item)
{
    const std::lock_guard guard(m_mutex);
    for (size_t node = 0; node < m_members.size(); ++node) {
        const bool isMeant = node != from && (!item.receiver || *item.receiver == idOf(node));
        if (isMeant && m_members[node].duty)
            static_cast<void>(m_members[node].duty->submit(Gateway::endpoint_limit_received { idOf(from), item.message }));
    }
}

void gateway_fleet::deliver(size_t from, const Quarantine::outgoing_statement& item)
{
    const std::lock_guard guard(m_mutex);
    for (size_t node = 0; node < m_members.size(); ++node) {
        const bool isMeant = node != from && (!item.receiver || *item.receiver == idOf(node));
        if (isMeant && m_members[node].duty)
            static_cast<void>(m_members[node].duty->submit(Gateway::quarantine_statement_received { idOf(from), item.statement }));
    }
}

} // namespace PlatformTests
