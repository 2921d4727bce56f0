#include "Idempotency/CallRecord.h"

#include <array>

#include "Common/Json.h"

namespace Idempotency {

namespace {

    using nlohmann::json;

    constexpr std::array callStates { call_state::Dispatching, call_state::Done, call_state::NotRun, call_state::Unknown };

} // namespace

std::string_view nameOf(call_state state)
{
    switch (state) {
    case call_state::Dispatching:
        return "dispatching";
    case call_state::Done:
        return "done";
    case call_state::NotRun:
        return "not_run";
    case call_state::Unknown:
        return "unknown";
    }
    return "unknown";
}

Platform::table_key recordKey(const Common::account_id& account, const std::string& key)
{
    return { "call/" + account.value, key };
}

Platform::table_put encodeRecord(const Platform::table_key& key, const call_record& record, uint64_t expectedVersion)
{
    nlohmann::ordered_json body {
        { "state", nameOf(record.state) },
        { "attempt", record.attemptToken },
        { "body_hash", record.bodyHash },
        { "node", record.node },
        { "claimed_at_ms", record.claimedAt.value },
    };
    if (record.state == call_state::Done) {
        body["status"] = record.outcome.status;
        body["answer"] = record.outcome.body;
    }
    Platform::table_put put;
    put.row = { key, expectedVersion + 1, body.dump(-1, ' ', false, json::error_handler_t::replace) };
    put.condition = expectedVersion == 0 ? Platform::put_condition::Absent : Platform::put_condition::VersionIs;
    put.expectedVersion = expectedVersion;
    return put;
}

std::optional<call_record> decodeRecord(const Platform::table_row& row)
{
    const json body = Common::parseJson(row.body);
    if (!body.is_object())
        return std::nullopt;
    call_record record;
    record.rowVersion = row.version;
    record.state = call_state::Unknown;
    const std::string state = Common::textMember(body, "state");
    for (const call_state known : callStates) {
        if (state == nameOf(known))
            record.state = known;
    }
    record.attemptToken = Common::textMember(body, "attempt");
    record.bodyHash = Common::textMember(body, "body_hash");
    record.node = Common::textMember(body, "node");
    record.claimedAt = { Common::integerMember<int64_t>(body, "claimed_at_ms") };
    record.outcome = { Common::integerMember<int>(body, "status"), Common::textMember(body, "answer") };
    return record;
}

} // namespace Idempotency
