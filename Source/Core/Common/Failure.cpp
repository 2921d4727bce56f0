#include "Common/Failure.h"

#include <array>

#include <nlohmann/json.hpp>

namespace Common {

namespace {

    struct failure_row {
        failure_kind kind;
        std::string_view name;
        int status;
    };

    constexpr std::array failureRows {
        failure_row { failure_kind::MalformedRequest, "malformed_request", 400 },
        failure_row { failure_kind::UnknownPath, "unknown_path", 404 },
        failure_row { failure_kind::UnknownClass, "unknown_class", 404 },
        failure_row { failure_kind::UnknownRequest, "unknown_request", 404 },
        failure_row { failure_kind::Unauthorized, "unauthorized", 401 },
        failure_row { failure_kind::MissingIdempotencyKey, "missing_idempotency_key", 400 },
        failure_row { failure_kind::IdempotencyKeyReused, "idempotency_key_reused", 422 },
        failure_row { failure_kind::CallInProgress, "call_in_progress", 409 },
        failure_row { failure_kind::OutcomeUnknown, "outcome_unknown", 502 },
        failure_row { failure_kind::Overloaded, "overloaded", 503 },
        failure_row { failure_kind::AccountLimit, "account_limit", 429 },
        failure_row { failure_kind::NoEndpoint, "no_endpoint", 503 },
        failure_row { failure_kind::EndpointFailed, "endpoint_failed", 502 },
        failure_row { failure_kind::EndpointNonsense, "endpoint_nonsense", 502 },
        failure_row { failure_kind::StoreUnavailable, "store_unavailable", 503 },
        failure_row { failure_kind::ConfigurationConflict, "configuration_conflict", 409 },
        failure_row { failure_kind::InvalidChange, "invalid_change", 400 },
        failure_row { failure_kind::NodeDraining, "node_draining", 503 },
        failure_row { failure_kind::NotReady, "not_ready", 503 },
        failure_row { failure_kind::DeadlineExceeded, "deadline_exceeded", 504 },
    };

    const failure_row& rowOf(failure_kind kind)
    {
        for (const failure_row& row : failureRows) {
            if (row.kind == kind)
                return row;
        }
        return failureRows.front();
    }

} // namespace

std::string_view nameOf(failure_kind kind)
{
    return rowOf(kind).name;
}

int httpStatusOf(failure_kind kind)
{
    return rowOf(kind).status;
}

std::string_view nameOf(run_state run)
{
    switch (run) {
    case run_state::NotRun:
        return "not_run";
    case run_state::Ran:
        return "ran";
    case run_state::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string describeAsJson(const failure& reason)
{
    nlohmann::ordered_json error;
    error["code"] = nameOf(reason.kind);
    error["subject"] = reason.subject;
    error["run"] = nameOf(reason.run);
    if (reason.retryAfterSeconds > 0)
        error["retry_after_s"] = reason.retryAfterSeconds;
    nlohmann::ordered_json body;
    body["error"] = std::move(error);
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Common
