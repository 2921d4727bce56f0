#include "Configuration/ConfigurationDuty.h"

#include "Common/Json.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Text.h"

namespace Configuration {

namespace {

    constexpr size_t ringCapacity = 1024;
    constexpr std::chrono::milliseconds tickInterval { 200 };
    constexpr int statusOk = 200;

    /// @return the changes before the first unreadable row, since a change can be applied only after its predecessor.
    std::vector<change> decodeRows(const std::vector<Platform::table_row>& rows)
    {
        std::vector<change> changes;
        for (const Platform::table_row& row : rows) {
            auto item = decodeChange(row.body);
            if (!item) {
                Common::logEvent(Common::log_level::Error, "configuration_row_unreadable", { { "row", row.key.sort } });
                break;
            }
            changes.push_back(std::move(*item));
        }
        return changes;
    }

    Platform::table_key snapshotKey()
    {
        return { std::string(snapshotPartition), "newest" };
    }

    snapshot_read decodeSnapshot(const Platform::table_reply& reply)
    {
        snapshot_read decoded { reply.outcome, std::nullopt };
        if (reply.rows.empty())
            return decoded;
        auto state = parseConfiguration(Common::parseJson(reply.rows.front().body));
        if (state)
            decoded.state = std::move(*state);
        else
            Common::logEvent(Common::log_level::Error, "configuration_snapshot_unreadable");
        return decoded;
    }

    std::string describeConflict(const answer_operator& action)
    {
        nlohmann::ordered_json body = nlohmann::ordered_json::parse(Common::describeAsJson(action.outcome.error()));
        body["changed_meanwhile"] = nlohmann::ordered_json::array();
        for (const change& item : action.conflicting)
            body["changed_meanwhile"].push_back(nlohmann::ordered_json::parse(encodeChange(item)));
        return body.dump();
    }

} // namespace

configuration_duty::configuration_duty(configuration_outlets outlets)
    : m_outlets(std::move(outlets))
    , m_inbox(ringCapacity)
{
}

bool configuration_duty::submit(chain_message&& message)
{
    return m_inbox.push(message);
}

void configuration_duty::run()
{
    std::vector<chain_message> batch;
    while (m_inbox.waitInto(tickInterval, batch)) {
        for (chain_message& message : batch)
            dispatch(std::move(message));
        dispatch(chain_tick {});
    }
}

void configuration_duty::stop()
{
    m_inbox.stop();
}

void configuration_duty::dispatch(chain_message&& message)
{
    const std::vector<chain_action> actions = stepChain(m_state, std::move(message), std::chrono::steady_clock::now());
    for (const chain_action& action : actions)
        std::visit([this](const auto& item) { perform(item); }, action);
}

void configuration_duty::perform(const write_change& action)
{
    Platform::table_put put;
    put.row = { { std::string(chainPartition), Common::zeroPadded(action.item.version.value) }, 1, encodeChange(action.item) };
    put.condition = Platform::put_condition::Absent;
    m_outlets.callTable({ Platform::table_write { { put } }, [this, token = action.item.token](Platform::table_reply&& reply) {
                             static_cast<void>(submit(write_done { token, reply.outcome }));
                         } });
}

void configuration_duty::perform(const read_changes& action)
{
    Platform::table_query query;
    query.partition = chainPartition;
    query.afterSort = Common::zeroPadded(action.after.value);
    m_outlets.callTable({ query, [this](Platform::table_reply&& reply) {
                             static_cast<void>(submit(rows_read { reply.outcome, decodeRows(reply.rows) }));
                         } });
}

void configuration_duty::perform(const read_snapshot&)
{
    m_outlets.callTable({ Platform::table_get { snapshotKey() }, [this](Platform::table_reply&& reply) {
                             static_cast<void>(submit(decodeSnapshot(reply)));
                         } });
}

void configuration_duty::perform(const write_snapshot& action)
{
    // Written without a condition: if an older snapshot overwrites a newer one, a starting node only reads more rows.
    Platform::table_put put;
    put.row = { snapshotKey(), action.state->version.value, toJson(*action.state).dump() };
    m_outlets.callTable({ Platform::table_write { { put } }, [](Platform::table_reply&&) {} });
}

void configuration_duty::perform(const publish_configuration& action)
{
    Common::setMetric("filbertreel_configuration_version", static_cast<double>(action.state->version.value));
    Common::logEvent(Common::log_level::Info, "configuration_in_force", { { "version", action.state->version.value } });
    m_outlets.publish(action.state);
}

void configuration_duty::perform(const tell_peers& action)
{
    m_outlets.tellPeers(action.changes);
}

void configuration_duty::perform(const pull_from_peers& action)
{
    m_outlets.pullFromPeers(action.after);
}

void configuration_duty::perform(const answer_peer& action)
{
    m_outlets.answerPeer(action);
}

void configuration_duty::perform(const answer_operator& action)
{
    if (!action.outcome) {
        Common::logEvent(Common::log_level::Warning, "change_refused", { { "code", nameOf(action.outcome.error().kind) }, { "subject", action.outcome.error().subject } });
        m_outlets.answerOperator(action.operatorToken, httpStatusOf(action.outcome.error().kind), describeConflict(action));
        return;
    }
    Common::logEvent(Common::log_level::Info, "change_accepted", { { "version", action.outcome->version.value }, { "subject", action.outcome->subject }, { "actor", action.outcome->actor } });
    m_outlets.answerOperator(action.operatorToken, statusOk, encodeChange(*action.outcome));
}

} // namespace Configuration
