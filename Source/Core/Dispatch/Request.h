#pragma once

/// @file
/// A request in flight.

#include "Dispatch/Messages.h"
#include "Idempotency/Claim.h"

#include <optional>

namespace Dispatch {

enum class request_phase {
    Claiming, ///< Waits for the table service to write or return the at-most-once record.
    Parked, ///< Accepted; waits for a usable endpoint or for the time of its next attempt.
    Running, ///< An attempt is in progress.
    Finished, ///< Its answer is complete and kept for a caller that may reconnect.
    Recording, ///< The caller has its answer; the outcome still has to be stored.
    Settling, ///< Refused without being sent, but its claim may be in the table and must then be marked as not run.
};

/// The tokens of an answer generated so far.
struct token_log {
    std::string text;
    std::vector<uint32_t> ends; ///< End offset in text of each token.
};

/// @param position position of the token, counted from one; must be in the log.
/// @return the text of the token.
inline std::string tokenAt(const token_log& log, uint64_t position)
{
    const uint32_t start = position > 1 ? log.ends[position - 2] : 0;
    return log.text.substr(start, log.ends[position - 1] - start);
}

/// The attempt of a request that is in progress.
struct attempt_info {
    Common::attempt_number number;
    Common::endpoint_id endpoint;
    Common::version_name version;
    Common::instant begunAt;
    Common::instant lastProgress; ///< Start, last token or end of the last pause.
    double predictedFirstTokenSeconds { 0 };
    bool hasFirstToken { false };
    bool isLate { false }; ///< The first token missed the target of the request's class.
    bool isPaused { false }; ///< Reading is stopped because the caller is slow.
};

struct request_entry {
    Common::request_id id;
    Common::account_id account;
    Configuration::class_of_work work;
    request_phase phase { request_phase::Parked };
    std::optional<Common::caller_token> caller;
    bool isStreamed { false };
    nlohmann::json body;
    std::string rawBody;
    std::string path;
    std::string idempotencyKey;
    uint64_t prefixHash { 0 }; ///< Of the first message: equal values share an engine's prefix cache.

    std::optional<attempt_info> attempt;
    uint32_t attemptsBegun { 0 };
    uint32_t attemptsCut { 0 }; ///< In a row, after which no token had come.
    uint32_t attemptsCutInAll { 0 };
    std::vector<Common::endpoint_id> avoided; ///< Endpoints at which an attempt of this request failed.
    token_log tokens;
    uint64_t sentToCaller { 0 }; ///< Number of tokens passed to the caller's connection.
    size_t unwrittenBytes { 0 }; ///< Passed to the caller's connection and not yet reported as written.
    std::string finishReason;

    Common::instant arrivedAt;
    Common::instant deadline; ///< Model work ends at this time in any phase, a service call only while it is settling.
    Common::instant notBefore; ///< Earliest time of the next attempt or table access.
    std::optional<Common::instant> callerGoneAt; ///< Start of the reconnect grace; unset while a caller is connected.
    std::optional<Common::instant> firstTokenAt;

    std::optional<Idempotency::call_claim> claim; ///< Only of calls that are sent at most once.
    std::optional<Idempotency::call_record> unsavedOutcome; ///< Written again until the table service has stored it.
    bool isOffered { false }; ///< Offered to a peer while this node leaves.
};

} // namespace Dispatch
