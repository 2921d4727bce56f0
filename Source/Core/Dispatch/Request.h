#pragma once

/// @file
/// A request in flight.

#include "Dispatch/Messages.h"
#include "Idempotency/Claim.h"

#include <optional>

namespace Dispatch {

enum class request_phase {
    Claiming, ///< Waits for the at-most-once record.
    Parked, ///< Accepted; waits for an endpoint or for its next attempt.
    Running, ///< An attempt is under way.
    Finished, ///< Its answer is complete and kept for a caller that comes back.
    Recording, ///< Answered; its outcome still has to be stored.
    Settling, ///< Refused unsent; its claim may still stand in the table.
};

/// The tokens of an answer so far, by position.
struct token_log {
    std::string text;
    std::vector<uint32_t> ends; ///< Offset in text after each token.
};

/// @param log the tokens.
/// @param position counts from one.
/// @return the text of that token.
inline std::string tokenAt(const token_log& log, uint64_t position)
{
    const uint32_t start = position > 1 ? log.ends[position - 2] : 0;
    return log.text.substr(start, log.ends[position - 1] - start);
}

/// The attempt that a request has under way.
struct attempt_info {
    Common::attempt_number number;
    Common::endpoint_id endpoint;
    Common::version_name version;
    Common::instant begunAt;
    Common::instant lastProgress;
    double predictedFirstTokenSeconds { 0 };
    bool hasFirstToken { false };
    bool isLate { false };
    bool isPaused { false };
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
    uint64_t prefixHash { 0 };

    std::optional<attempt_info> attempt;
    uint32_t attemptsBegun { 0 };
    std::vector<Common::endpoint_id> avoided;
    token_log tokens;
    uint64_t sentToCaller { 0 }; ///< Tokens that were handed to the caller's connection.
    size_t unwrittenBytes { 0 };
    std::string finishReason;

    Common::instant arrivedAt;
    Common::instant deadline; ///< The request ends at this time whatever its phase.
    Common::instant notBefore; ///< A parked request is not tried earlier.
    std::optional<Common::instant> callerGoneAt;
    std::optional<Common::instant> firstTokenAt;

    std::optional<Idempotency::call_claim> claim;
    std::optional<Idempotency::call_record> unsavedOutcome;
    bool isOffered { false }; ///< Offered to a peer while this node leaves.
};

} // namespace Dispatch
