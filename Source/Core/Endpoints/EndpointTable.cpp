#include "Endpoints/EndpointTable.h"

#include <algorithm>

namespace Endpoints {

namespace {

    using actions = std::vector<table_action>;

    /// In a small fleet every node routes to all endpoints, and the nodes of all regions share the polling.
    bool isSmallFleet(const endpoint_table& table)
    {
        return table.entries.size() <= subsetSize;
    }

    size_t countInRegion(const endpoint_table& table, const Common::region_name& region)
    {
        size_t count = 0;
        for (const auto& [id, entry] : table.entries)
            count += entry.info.region == region ? 1 : 0;
        return count;
    }

    bool usesEndpoint(const endpoint_table& table, const poller& node, const Common::endpoint_id& id)
    {
        if (isSmallFleet(table))
            return true;
        const auto found = table.entries.find(id);
        if (found == table.entries.end() || found->second.info.region != node.region)
            return false;
        return isInSubset(node.id, id, countInRegion(table, node.region));
    }

    /// @return false when the endpoint was already marked.
    bool markLeaving(endpoint_table& table, const Common::endpoint_id& id, Common::instant now)
    {
        return table.leaving.emplace(id, now).second;
    }

    void removeExpiredMarks(endpoint_table& table, Common::instant now)
    {
        std::erase_if(table.leaving, [&](const auto& mark) {
            return now - mark.second >= leavingRetention && !table.entries.contains(mark.first);
        });
    }

    void handle(endpoint_table& table, cloud_list&& message, Common::instant now, actions& output)
    {
        std::map<Common::endpoint_id, endpoint_entry> next;
        std::vector<instance_info> entryInstances;
        std::vector<instance_info> newInstances;
        for (instance_info& info : message.instances) {
            if (info.role == instance_role::Entry) {
                entryInstances.push_back(std::move(info));
                continue;
            }
            endpoint_entry entry;
            const auto found = table.entries.find(info.id);
            if (found != table.entries.end())
                entry = found->second;
            // After the first reading an unknown instance is new, and the peers may not know it yet.
            else if (table.isListRead)
                newInstances.push_back(info);
            // The list lags: it may mark an endpoint as leaving, but never removes the mark.
            if (info.isLeaving && markLeaving(table, info.id, now))
                output.push_back(broadcast_leaving { info.id });
            entry.info = std::move(info);
            next.emplace(entry.info.id, std::move(entry));
        }
        for (auto& [id, entry] : table.entries) {
            if (entry.keepUntil > now)
                next.try_emplace(id, std::move(entry));
        }
        table.entries = std::move(next);
        table.isListRead = true;
        if (!newInstances.empty())
            output.push_back(broadcast_instances { std::move(newInstances) });
        removeExpiredMarks(table, now);
        output.push_back(publish_endpoints { listUsable(table, now), countSharingNodes(table) });
        output.push_back(publish_entries { std::move(entryInstances) });
    }

    void handle(endpoint_table& table, polled_load&& message, Common::instant now, actions& output)
    {
        if (message.report.isLeaving && markLeaving(table, message.report.id, now)) {
            output.push_back(broadcast_leaving { message.report.id });
            output.push_back(publish_endpoints { listUsable(table, now), countSharingNodes(table) });
        }
        for (const poller& node : table.pollers) {
            const bool isUser = node.id != table.self.id && usesEndpoint(table, node, message.report.id);
            if (isUser)
                output.push_back(send_load { node.id, message.report });
        }
        output.push_back(publish_load { std::move(message.report) });
    }

    void handle(endpoint_table& table, instances_received&& message, Common::instant now, actions& output)
    {
        std::vector<instance_info> newInstances;
        for (instance_info& info : message.instances) {
            if (info.role == instance_role::Entry || table.entries.contains(info.id))
                continue;
            newInstances.push_back(info);
            endpoint_entry& entry = table.entries[info.id];
            entry.info = std::move(info);
            entry.keepUntil = now + listLagAllowance;
        }
        if (newInstances.empty())
            return;
        output.push_back(broadcast_instances { std::move(newInstances) });
        output.push_back(publish_endpoints { listUsable(table, now), countSharingNodes(table) });
    }

    void handle(endpoint_table&, load_received&& message, Common::instant, actions& output)
    {
        output.push_back(publish_load { std::move(message.report) });
    }

    void handle(endpoint_table& table, pollers_changed&& message, Common::instant, actions&)
    {
        table.pollers = std::move(message.pollers);
    }

    void handle(endpoint_table& table, leaving_notice&& message, Common::instant now, actions& output)
    {
        if (message.source == leaving_source::RefusedConnection) {
            const auto found = table.entries.find(message.id);
            if (found == table.entries.end())
                return;
            found->second.unreachableUntil = now + unreachablePeriod;
            output.push_back(publish_endpoints { listUsable(table, now), countSharingNodes(table) });
            return;
        }
        if (!markLeaving(table, message.id, now))
            return;
        output.push_back(broadcast_leaving { message.id });
        output.push_back(publish_endpoints { listUsable(table, now), countSharingNodes(table) });
    }

} // namespace

std::vector<table_action> stepEndpoints(endpoint_table& table, table_message&& message, Common::instant now)
{
    actions output;
    std::visit([&](auto& item) { handle(table, std::move(item), now, output); }, message);
    return output;
}

std::vector<instance_info> listPolledHere(const endpoint_table& table)
{
    std::vector<instance_info> polled;
    for (const auto& [id, entry] : table.entries) {
        const auto region = isSmallFleet(table) ? std::nullopt : std::optional(entry.info.region);
        const Common::node_id owner = choosePoller(table.pollers, region, id);
        if (owner.value.empty() || owner == table.self.id)
            polled.push_back(entry.info);
    }
    return polled;
}

size_t countListReaders(const endpoint_table& table)
{
    size_t readers = 0;
    for (const poller& node : table.pollers)
        readers += node.region == table.self.region ? 1 : 0;
    return std::max<size_t>(readers, 1);
}

double countSharingNodes(const endpoint_table& table)
{
    if (isSmallFleet(table))
        return static_cast<double>(std::max<size_t>(table.pollers.size(), 1));
    const double inRegion = static_cast<double>(std::max<size_t>(countInRegion(table, table.self.region), 1));
    return std::max(1.0, static_cast<double>(countListReaders(table)) * std::min(1.0, subsetSize / inRegion));
}

endpoint_list listUsable(const endpoint_table& table, Common::instant now)
{
    auto usable = std::make_shared<std::vector<instance_info>>();
    const size_t inRegion = countInRegion(table, table.self.region);
    const bool usesAllEndpoints = isSmallFleet(table);
    for (const auto& [id, entry] : table.entries) {
        const bool isSelected = usesAllEndpoints || (entry.info.region == table.self.region && isInSubset(table.self.id, id, inRegion));
        if (isSelected && !table.leaving.contains(id) && entry.unreachableUntil <= now)
            usable->push_back(entry.info);
    }
    return usable;
}

} // namespace Endpoints
