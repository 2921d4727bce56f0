#include "Golden/World.h"

#include "Common/Text.h"

#include <fmt/format.h>

namespace Golden {

namespace {

    constexpr Common::instant epoch = Common::instant {} + std::chrono::hours(1);
    constexpr int64_t wallEpochMs = 1800000000000;

    Endpoints::instance_info makeInstance(const std::string& id, const std::string& service)
    {
        Endpoints::instance_info info;
        info.id = { id };
        info.service = service;
        info.address = id + ":80";
        info.zone = { "east" };
        info.region = { "midlands" };
        info.pricePerHour = { 900000 };
        info.slots = 8;
        return info;
    }

    std::string rowName(const Platform::table_key& key)
    {
        return key.partition + "/" + key.sort;
    }

} // namespace

void simulated_cluster::addNode(const std::string& name)
{
    Dispatch::dispatch_state state;
    state.settings.node = { name };
    state.settings.incarnation = { 1 };
    state.router.region = { "midlands" };
    state.router.zone = { "east" };
    Configuration::configuration config;
    config.version = { 1 };
    config.classes[{ "summary" }].name = { "summary" };
    config.classes[{ "summary" }].service = "model";
    state.config = std::make_shared<const Configuration::configuration>(config);
    const std::vector<Endpoints::instance_info> instances { makeInstance("engine-1", "model"), makeInstance("engine-2", "model"), makeInstance("ledger-1", "ledger") };
    Routing::setEndpoints(state.router, instances, epoch);
    m_nodes[name] = std::move(state);
    m_chains[name] = {};
}

void simulated_cluster::appendLine(const std::string& node, std::string_view arrow, const std::string& text)
{
    m_text += fmt::format("{:>6} {} {} {}\n", m_now.count(), node, arrow, text);
}

void simulated_cluster::remark(const std::string& text)
{
    m_text += "# " + text + "\n";
}

void simulated_cluster::advanceClock(std::chrono::milliseconds time)
{
    m_now += time;
}

void simulated_cluster::kill(const std::string& node)
{
    remark(node + " is killed");
    m_nodes.erase(node);
    m_chains.erase(node);
}

void simulated_cluster::deliver(const std::string& node, Dispatch::dispatch_message message)
{
    const auto found = m_nodes.find(node);
    if (found == m_nodes.end())
        return;
    appendLine(node, "<-", describe(message));
    const Dispatch::clock_reading clock { epoch + m_now, { wallEpochMs + m_now.count() } };
    for (const Dispatch::dispatch_action& action : stepDispatch(found->second, std::move(message), clock)) {
        appendLine(node, "->", describe(action));
        performTableAction(node, action);
    }
}

void simulated_cluster::reply(const std::string& node, Dispatch::dispatch_message message)
{
    if (m_isHeld)
        m_held.push_back({ node, std::move(message) });
    else
        deliver(node, std::move(message));
}

void simulated_cluster::releaseHeldReplies()
{
    m_isHeld = false;
    for (held_reply& item : std::exchange(m_held, {}))
        deliver(item.node, std::move(item.message));
}

Platform::table_outcome simulated_cluster::put(const Platform::table_put& put)
{
    if (m_fault == table_fault::Down)
        return Platform::table_outcome::Unavailable;
    const auto row = m_rows.find(rowName(put.row.key));
    const bool isAbsent = row == m_rows.end();
    const bool isConditionMet = put.condition == Platform::put_condition::Absent ? isAbsent : !isAbsent && row->second.version == put.expectedVersion;
    if (!isConditionMet)
        return Platform::table_outcome::ConditionFailed;
    m_rows[rowName(put.row.key)] = put.row;
    return m_fault == table_fault::ReplyLost ? Platform::table_outcome::Unknown : Platform::table_outcome::Done;
}

void simulated_cluster::performTableAction(const std::string& node, const Dispatch::dispatch_action& action)
{
    if (const auto* write = std::get_if<Dispatch::write_record>(&action))
        reply(node, Dispatch::record_reply { write->request, write->step, { put(write->put), {} } });
    const auto* read = std::get_if<Dispatch::read_record>(&action);
    if (!read)
        return;
    Platform::table_reply answer;
    if (m_fault != table_fault::Down) {
        answer.outcome = Platform::table_outcome::Done;
        const auto row = m_rows.find(rowName(read->key));
        if (row != m_rows.end())
            answer.rows.push_back(row->second);
    }
    reply(node, Dispatch::record_reply { read->request, read->step, std::move(answer) });
}

void simulated_cluster::deliverToChain(const std::string& node, Configuration::chain_message message)
{
    const auto found = m_chains.find(node);
    if (found == m_chains.end())
        return;
    appendLine(node, "<-", describe(message));
    for (const Configuration::chain_action& action : stepChain(found->second, std::move(message), epoch + m_now)) {
        appendLine(node, "->", describe(action));
        performChainAction(node, action);
    }
}

void simulated_cluster::performChainAction(const std::string& node, const Configuration::chain_action& action)
{
    if (const auto* write = std::get_if<Configuration::write_change>(&action)) {
        Platform::table_put item;
        item.row = { { "config", Common::zeroPadded(write->item.version.value) }, 1, encodeChange(write->item) };
        item.condition = Platform::put_condition::Absent;
        deliverToChain(node, Configuration::write_done { write->item.token, put(item) });
    }
    if (std::holds_alternative<Configuration::read_snapshot>(action)) {
        const auto outcome = m_fault == table_fault::Down ? Platform::table_outcome::Unavailable : Platform::table_outcome::Done;
        deliverToChain(node, Configuration::snapshot_read { outcome, std::nullopt });
    }
    const auto* read = std::get_if<Configuration::read_changes>(&action);
    if (!read)
        return;
    Configuration::rows_read rows { m_fault == table_fault::Down ? Platform::table_outcome::Unavailable : Platform::table_outcome::Done, {} };
    const std::string after = "config/" + Common::zeroPadded(read->after.value);
    for (auto row = m_rows.upper_bound(after); row != m_rows.end() && row->first.starts_with("config/"); ++row) {
        if (rows.outcome == Platform::table_outcome::Done)
            rows.changes.push_back(*Configuration::decodeChange(row->second.body));
    }
    deliverToChain(node, std::move(rows));
}

} // namespace Golden
