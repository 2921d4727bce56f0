#include "Control/NodeRows.h"

#include "Common/BootClock.h"
#include "Common/Log.h"

namespace Control {

namespace {

    constexpr milliseconds registerRetryDelay { 300 };

    Store::row_name nodeRowName(const node_rows& rows, const Common::node_id& node)
    {
        return { rows.watch.settings.table, "", node.value };
    }

    /// @return whether the list has this node's row as it was last written, or is older than that write.
    bool isListed(const node_rows& rows)
    {
        const Fleet::node_map& nodes = rows.context.nodes;
        const auto own = nodes.find(rows.context.settings.self.node);
        if (own == nodes.end())
            return false;
        const bool isCurrent = own->second.incarnation == rows.context.settings.self.incarnation && own->second.isLeaving == rows.isLeaving;
        return isCurrent || rows.watch.newest < rows.registeredAt;
    }

} // namespace

void readNodeRows(node_rows& rows)
{
    control_context& context = rows.context;
    context.nodes.clear();
    for (const auto& [key, row] : rows.watch.rows) {
        auto node = Fleet::decodeNode({ key }, row.value);
        if (node)
            context.nodes.insert_or_assign({ key }, std::move(*node));
        else
            Common::logEvent(Common::log_level::Warning, "node_row_unreadable", { { "node", key } });
    }
    // Another node has removed the row because it considered this node dead, it is unreadable, or a write of this node's
    // earlier process was performed late: register again.
    rows.isRegistered = rows.isRegistered && isListed(rows);
}

void registerSelf(node_rows& rows, Common::instant now)
{
    control_context& context = rows.context;
    if (rows.isRegistered || rows.isRegistering || rows.hasLeft || now < rows.nextRegistration || !context.storeClock)
        return;
    rows.isRegistering = true;
    Fleet::node_entry& self = context.settings.self;
    self.isLeaving = rows.isLeaving;
    self.clockOffset = Common::wallClockMilliseconds() - trueTimeAt(*context.storeClock, 0, now).value;
    Store::transaction write;
    write.writes.push_back({ nodeRowName(rows, self.node), Fleet::encodeNode(self) });
    const bool wroteLeaving = rows.isLeaving;
    context.commit(write, [&rows, wroteLeaving](const Store::rows_answer& answer) {
        rows.isRegistering = false;
        if (answer.outcome == Store::call_outcome::Done)
            rows.registeredAt = answer.newest;
        rows.isRegistered = answer.outcome == Store::call_outcome::Done && wroteLeaving == rows.isLeaving;
        rows.nextRegistration = Common::bootClockNow() + registerRetryDelay;
    });
}

void markSelfLeaving(node_rows& rows)
{
    rows.isLeaving = true;
    rows.isRegistered = false;
    rows.nextRegistration = {};
}

void removeSelf(node_rows& rows, std::function<void()> onAnswered)
{
    rows.hasLeft = true;
    Store::transaction write;
    write.removals.push_back(nodeRowName(rows, rows.context.settings.self.node));
    rows.context.commit(write, [onAnswered = std::move(onAnswered)](const Store::rows_answer&) {
        if (onAnswered)
            onAnswered();
    });
}

void removeDeadNodes(node_rows& rows)
{
    // The versions of an incomplete copy may be of an earlier era of the store.
    if (rows.isRemovingNode || !rows.watch.isComplete)
        return;
    for (const Common::node_id& id : rows.deadNodes) {
        const auto known = rows.watch.rows.find(id.value);
        if (known == rows.watch.rows.end() || id == rows.context.settings.self.node)
            continue;
        rows.isRemovingNode = true;
        Store::transaction write;
        write.conditions.push_back({ known->second.name, known->second.version });
        write.removals.push_back(known->second.name);
        Common::logEvent(Common::log_level::Info, "dead_node_removed", { { "member", id.value } });
        return rows.context.commit(write, [&rows](const Store::rows_answer&) { rows.isRemovingNode = false; });
    }
}

} // namespace Control
