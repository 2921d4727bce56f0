#pragma once

/// @file
/// The failures of the system. Every failure that a caller or an operator sees has a kind from this list.

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

/// What is known of the work behind a failed request.
enum class run_state {
    NotRun, ///< Proven: no endpoint began the work.
    Ran, ///< The work ran and its answer is the failure.
    Unknown, ///< The work may or may not have run.
};

/// One failure with what its reader needs to act on it.
struct failure {
    failure_kind kind;
    std::string subject; ///< The thing that failed: a name, a path, an id. Never a secret.
    run_state run { run_state::NotRun };
    int retryAfterSeconds { 0 }; ///< When to come back; zero when coming back does not help.
};

template <typename value_type>
using result = tl::expected<value_type, failure>;

/// @param kind any failure kind.
/// @return its stable name in answers and logs.
std::string_view nameOf(failure_kind kind);

/// @param kind any failure kind.
/// @return the HTTP status that carries it.
int httpStatusOf(failure_kind kind);

/// @param run any run state.
/// @return its stable name in answers and logs.
std::string_view nameOf(run_state run);

/// @param item the failure to describe.
/// @return the JSON error body that callers and operators receive.
std::string describeAsJson(const failure& item);

} // namespace Common
