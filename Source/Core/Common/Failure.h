#pragma once

/// @file
/// Failure kinds of the system. Every failure reported to a caller or an operator has one of these kinds.

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace Common {

enum class failure_kind {
    MalformedRequest,
    UnknownPath,
    UnknownClass,
    UnknownRequest,
    Unauthorized,
    MissingIdempotencyKey,
    IdempotencyKeyReused,
    CallInProgress,
    OutcomeUnknown,
    Overloaded,
    AccountLimit,
    NoEndpoint,
    EndpointFailed,
    EndpointNonsense,
    StoreUnavailable,
    ConfigurationConflict,
    InvalidChange,
    NodeDraining,
    NotReady,
    DeadlineExceeded,
};

/// Whether an endpoint executed the work of a failed request.
enum class run_state {
    NotRun, ///< Certain: no endpoint started the work.
    Ran, ///< An endpoint ran the work; the failure is its result.
    Unknown, ///< The work may or may not have run.
};

/// A failure with the details that a caller needs to handle it.
struct failure {
    failure_kind kind;
    std::string subject; ///< Name, path or id of the object that failed. Must not contain a secret.
    run_state run { run_state::NotRun };
    int retryAfterSeconds { 0 }; ///< Delay before a retry; zero when a retry does not help.
};

template <typename value_type>
using result = tl::expected<value_type, failure>;

/// @param kind any failure kind.
/// @return its stable identifier in responses and logs.
std::string_view nameOf(failure_kind kind);

/// @param kind any failure kind.
/// @return the HTTP status code of a response with this failure.
int httpStatusOf(failure_kind kind);

/// @param run any run state.
/// @return its stable identifier in responses and logs.
std::string_view nameOf(run_state run);

/// @param reason the failure to describe.
/// @return the JSON error body that callers and operators receive.
std::string describeAsJson(const failure& reason);

} // namespace Common
