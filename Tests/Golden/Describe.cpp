#include "Golden/Describe.h"

#include "Idempotency/CallRecord.h"

#include <fmt/format.h>

namespace Golden {

namespace {

    using namespace Dispatch;

    std::string join(const std::vector<std::string>& texts)
    {
        std::string all;
        for (const std::string& text : texts)
            all += text;
        return all;
    }

    /// Replaces a long text by its size.
    std::string shorten(const std::string& text)
    {
        constexpr size_t maxShownBytes = 200;
        return text.size() <= maxShownBytes ? text : fmt::format("{} bytes", text.size());
    }

    std::string_view nameOf(Http::transfer_end end)
    {
        constexpr std::string_view names[] = { "complete", "not_sent", "cut", "timed_out" };
        return names[static_cast<size_t>(end)];
    }

    std::string_view nameOf(Platform::table_outcome outcome)
    {
        constexpr std::string_view names[] = { "done", "condition_failed", "unavailable", "unknown" };
        return names[static_cast<size_t>(outcome)];
    }

    std::string_view nameOf(record_step step)
    {
        constexpr std::string_view names[] = { "claim_written", "claim_read", "outcome_written", "settle_read" };
        return names[static_cast<size_t>(step)];
    }

    std::string describeRow(const Platform::table_row& row)
    {
        const auto record = Idempotency::decodeRecord(row);
        return fmt::format("{}/{} v{} {}", row.key.partition, row.key.sort, row.version, record ? Idempotency::nameOf(record->state) : "unreadable");
    }

    std::string describeFailure(const Common::failure& reason)
    {
        return fmt::format("{} {} retry_after={}", Common::nameOf(reason.kind), Common::nameOf(reason.run), reason.retryAfterSeconds);
    }

    struct message_lines {
        std::string operator()(const caller_request& item) const { return fmt::format("caller {} asks {} {}{}", item.token.value, item.work.name.value, item.path, item.idempotencyKey.empty() ? "" : " key " + item.idempotencyKey); }
        std::string operator()(const caller_resume& item) const { return fmt::format("caller {} comes back for {} after {}", item.token.value, item.request.value, item.afterPosition); }
        std::string operator()(const caller_progress& item) const { return item.isAlive ? fmt::format("caller {} took {} bytes", item.token.value, item.bytes) : fmt::format("caller {} is gone", item.token.value); }
        std::string operator()(const attempt_tokens& item) const { return fmt::format("attempt {} gives '{}'", item.attempt.value, shorten(join(item.texts))); }
        std::string operator()(const attempt_ended& item) const { return fmt::format("attempt {} ended {} {} {}", item.attempt.value, nameOf(item.end), item.status, item.finishReason); }
        std::string operator()(const record_reply& item) const
        {
            std::string line = fmt::format("table replies to {} of {}: {}", nameOf(item.step), item.request.value, nameOf(item.reply.outcome));
            for (const auto& row : item.reply.rows)
                line += " " + describeRow(row);
            return line;
        }
        std::string operator()(const configuration_published& item) const { return fmt::format("configuration {} in force", item.state->version.value); }
        std::string operator()(const endpoints_published& item) const { return fmt::format("{} endpoints usable", item.usable->size()); }
        std::string operator()(const load_published& item) const { return fmt::format("load of {}: {} running", item.report.id.value, item.report.running); }
        std::string operator()(const shares_published& item) const { return fmt::format("shares of {} published", item.shares.service); }
        std::string operator()(const transfer_offered& item) const { return fmt::format("{} offers {} with '{}'", item.from.value, item.transfer.request.value, join(item.transfer.tokens)); }
        std::string operator()(const transfer_accepted& item) const { return fmt::format("{} is taken at {}", item.request.value, item.httpAddress); }
        std::string operator()(const holder_query& item) const { return fmt::format("{} asks who holds {}", item.requester.value, item.request.value); }
        std::string operator()(const drain_begun&) const { return "drain begins"; }
        std::string operator()(const handover_begun&) const { return "handover begins"; }
        std::string operator()(const dispatch_tick&) const { return "tick"; }
    };

    struct action_lines {
        std::string operator()(const start_attempt& item) const { return fmt::format("attempt {} to {} {} {}{}", item.attempt.value, item.endpoint.value, item.path, item.body, item.mayRepeat ? "" : " once"); }
        std::string operator()(const cancel_attempt& item) const { return fmt::format("cancel attempt {}", item.attempt.value); }
        std::string operator()(const pause_attempt& item) const { return fmt::format("pause attempt {}", item.attempt.value); }
        std::string operator()(const resume_attempt& item) const { return fmt::format("resume attempt {}", item.attempt.value); }
        std::string operator()(const send_stream_head& item) const { return fmt::format("caller {} gets the head of {} after {}", item.token.value, item.request.value, item.afterPosition); }
        std::string operator()(const send_tokens& item) const { return fmt::format("caller {} gets {} from position {}: '{}'", item.token.value, item.request.value, item.firstPosition, shorten(join(item.texts))); }
        std::string operator()(const send_stream_end& item) const { return fmt::format("caller {} gets the end of {}: {} after {} tokens", item.token.value, item.request.value, item.finishReason, item.tokenCount); }
        std::string operator()(const send_stream_failure& item) const { return fmt::format("caller {} gets the failure of {}: {}", item.token.value, item.request.value, describeFailure(item.reason)); }
        std::string operator()(const send_completion& item) const { return fmt::format("caller {} gets {} whole: '{}'", item.token.value, item.request.value, item.text); }
        std::string operator()(const send_service_answer& item) const { return fmt::format("caller {} gets {} {}{}", item.token.value, item.status, item.body, item.isReplay ? " replayed" : ""); }
        std::string operator()(const send_failure& item) const { return fmt::format("caller {} is refused: {}", item.token.value, describeFailure(item.reason)); }
        std::string operator()(const send_redirect& item) const { return fmt::format("caller {} is sent to {} for {}", item.token.value, item.httpAddress, item.request.value); }
        std::string operator()(const locate_request& item) const { return fmt::format("look for {} for caller {}", item.request.value, item.token.value); }
        std::string operator()(const write_record& item) const { return fmt::format("write {}", describe(item.put)); }
        std::string operator()(const read_record& item) const { return fmt::format("read {}/{}", item.key.partition, item.key.sort); }
        std::string operator()(const report_rollout_event& item) const { return fmt::format("observe {} at {}", static_cast<int>(item.observed.event), item.observed.version.value); }
        std::string operator()(const report_connection_refused& item) const { return fmt::format("report {} as unreachable", item.endpoint.value); }
        std::string operator()(const offer_transfer& item) const { return fmt::format("offer {} with '{}'", item.transfer.request.value, join(item.transfer.tokens)); }
        std::string operator()(const accept_transfer& item) const { return fmt::format("tell {} that {} is taken", item.peer.value, item.request.value); }
        std::string operator()(const confirm_held& item) const { return fmt::format("tell {} that {} is here", item.peer.value, item.request.value); }
        std::string operator()(const request_event& item) const { return fmt::format("note {} {} {}", item.event, item.request.value, item.fields.is_null() ? "{}" : item.fields.dump()); }
    };

    std::string describeChange(const Configuration::change& item)
    {
        return fmt::format("v{} {} {} by {}", item.version.value, Configuration::nameOf(item.kind), item.subject, item.token);
    }

    std::string describeChanges(const std::vector<Configuration::change>& changes)
    {
        std::string line = "[";
        for (const auto& item : changes)
            line += (line.size() > 1 ? ", " : "") + describeChange(item);
        return line + "]";
    }

    struct chain_message_lines {
        std::string operator()(const Configuration::proposal& item) const { return fmt::format("operator {} proposes {} {} ({})", item.operatorToken.value, Configuration::nameOf(item.item.kind), item.item.subject, item.item.token); }
        std::string operator()(const Configuration::write_done& item) const { return fmt::format("write of {}: {}", item.token, nameOf(item.outcome)); }
        std::string operator()(const Configuration::rows_read& item) const { return fmt::format("rows read: {} {}", nameOf(item.outcome), describeChanges(item.changes)); }
        std::string operator()(const Configuration::snapshot_read& item) const { return fmt::format("snapshot read: {} {}", nameOf(item.outcome), item.state ? std::to_string(item.state->version.value) : "none"); }
        std::string operator()(const Configuration::peer_changes& item) const { return "peer tells " + describeChanges(item.changes); }
        std::string operator()(const Configuration::peer_snapshot& item) const { return fmt::format("peer gives snapshot {}", item.state.version.value); }
        std::string operator()(const Configuration::peer_is_ahead& item) const { return fmt::format("peer has version {}", item.version.value); }
        std::string operator()(const Configuration::peer_pull& item) const { return fmt::format("{} pulls after {}", item.peer.value, item.after.value); }
        std::string operator()(const Configuration::chain_tick&) const { return "tick"; }
    };

    struct chain_action_lines {
        std::string operator()(const Configuration::write_change& item) const { return "write " + describeChange(item.item); }
        std::string operator()(const Configuration::read_changes& item) const { return fmt::format("read rows after {}", item.after.value); }
        std::string operator()(const Configuration::read_snapshot&) const { return "read the snapshot"; }
        std::string operator()(const Configuration::write_snapshot& item) const { return fmt::format("write snapshot {}", item.state->version.value); }
        std::string operator()(const Configuration::publish_configuration& item) const { return fmt::format("put version {} in force", item.state->version.value); }
        std::string operator()(const Configuration::tell_peers& item) const { return "tell peers " + describeChanges(item.changes); }
        std::string operator()(const Configuration::pull_from_peers& item) const { return fmt::format("pull from peers after {}", item.after.value); }
        std::string operator()(const Configuration::answer_peer& item) const { return fmt::format("give {} {}{}", item.peer.value, describeChanges(item.changes), item.snapshot ? " and a snapshot" : ""); }
        std::string operator()(const Configuration::answer_operator& item) const
        {
            const std::string outcome = item.outcome ? "accepted " + describeChange(*item.outcome) : describeFailure(item.outcome.error());
            return fmt::format("operator {} gets: {}{}", item.operatorToken.value, outcome, item.conflicting.empty() ? "" : " meanwhile " + describeChanges(item.conflicting));
        }
    };

} // namespace

std::string describe(const Dispatch::dispatch_message& message) { return std::visit(message_lines {}, message); }
std::string describe(const Dispatch::dispatch_action& action) { return std::visit(action_lines {}, action); }
std::string describe(const Configuration::chain_message& message) { return std::visit(chain_message_lines {}, message); }
std::string describe(const Configuration::chain_action& action) { return std::visit(chain_action_lines {}, action); }

std::string describe(const Platform::table_put& put)
{
    const std::string condition = put.condition == Platform::put_condition::Absent ? "if absent" : fmt::format("if v{}", put.expectedVersion);
    return describeRow(put.row) + " " + condition;
}

} // namespace Golden
