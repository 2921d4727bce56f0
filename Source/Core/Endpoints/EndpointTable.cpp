#include "Endpoints/EndpointTable.h"

namespace Endpoints {

namespace {

    using actions = std::vector<table_action>;

    /// @return whether the mark is new.
    bool markLeaving(endpoint_table& table, const Common::endpoint_id& id, Common::instant now)
    {
        return table.leaving.emplace(id, now).second;
    }

    void forgetOldMarks(endpoint_table& table, Common::instant now)
    {
        std::erase_if(table.leaving, [&](const auto& mark) {
            return now - mark.second >= leavingRetention && !table.entries.contains(mark.first);
        });
    }

    void handle(endpoint_table& table, cloud_list&& message, Common::instant now, actions& output)
    {
        std::map<Common::endpoint_id, endpoint_entry> next;
        std::vector<instance_info> entryInstances;
        for (instance_info& info : message.instances) {
            if (info.role == instance_role::Entry) {
                entryInstances.push_back(std::move(info));
                continue;
            }
            endpoint_entry entry;
            const auto found = table.entries.find(info.id);
            if (found != table.entries.end())
                entry = found->second;
            // The list lags: it may mark an endpoint as leaving, but never takes such a mark back.
            if (info.isLeaving)
                markLeaving(table, info.id, now);
            entry.info = std::move(info);
            next.emplace(entry.info.id, std::move(entry));
        }
        table.entries = std::move(next);
        forgetOldMarks(table, now);
        output.push_back(publish_endpoints { listUsable(table, now) });
        output.push_back(publish_entries { std::move(entryInstances) });
    }

    void handle(endpoint_table& table, own_load&& message, Common::instant now, actions& output)
    {
        if (message.report.isLeaving && markLeaving(table, message.report.id, now)) {
            output.push_back(tell_peers_leaving { message.report.id });
            output.push_back(publish_endpoints { listUsable(table, now) });
        }
        output.push_back(publish_load { std::move(message.report) });
    }

    void handle(endpoint_table& table, leaving_notice&& message, Common::instant now, actions& output)
    {
        if (message.source == leaving_source::RefusedConnection) {
            const auto found = table.entries.find(message.id);
            if (found == table.entries.end())
                return;
            found->second.unreachableUntil = now + unreachablePeriod;
            output.push_back(publish_endpoints { listUsable(table, now) });
            return;
        }
        if (!markLeaving(table, message.id, now))
            return;
        output.push_back(tell_peers_leaving { message.id });
        output.push_back(publish_endpoints { listUsable(table, now) });
    }

} // namespace

std::vector<table_action> stepEndpoints(endpoint_table& table, table_message&& message, Common::instant now)
{
    actions output;
    std::visit([&](auto& item) { handle(table, std::move(item), now, output); }, message);
    return output;
}

endpoint_list listUsable(const endpoint_table& table, Common::instant now)
{
    auto usable = std::make_shared<std::vector<instance_info>>();
    for (const auto& [id, entry] : table.entries) {
        if (!table.leaving.contains(id) && entry.unreachableUntil <= now)
            usable->push_back(entry.info);
    }
    return usable;
}

} // namespace Endpoints
