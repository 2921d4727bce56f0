#pragma once

/// @file
/// Requests of the soak and their expected answers. Endpoint and caller derive the same answer from the request's id
/// alone, so that an answer delivered to the wrong request is detected.

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace Faults {

enum class work_kind {
    Idempotent,
    AtMostOnce,
    Stream, ///< Runs at most once; is not resumed when it breaks.
    ResumableStream, ///< Is resumed at another endpoint when it breaks.
};

constexpr int workKindCount = 4;

struct work_request {
    std::string id;
    work_kind kind { work_kind::Idempotent };
    std::string key; ///< The caller's API key.
    int timeBudgetMs { 0 };
};

/// @return whether a request of the kind may run more than once.
bool mayRunAgain(work_kind kind);
/// @return whether the answer is a stream of events.
bool isStream(work_kind kind);

/// @return the request's path and query.
std::string targetOf(const work_request& request);
/// @return the kind of requests with this path; ResumableStream for an unknown path.
work_kind kindOf(std::string_view target);
/// @return the request body for an id.
std::string requestBody(std::string_view id);
/// @return the request as HTTP/1.1 bytes.
std::string serializeRequest(const work_request& request);

/// @return the expected body of an answer that is not a stream.
std::string answerBody(std::string_view id);
/// @return the number of events in the stream for a request id.
uint32_t eventCount(std::string_view id);
/// @return one server-sent event as bytes.
/// @param number starts at 1.
std::string eventBytes(std::string_view id, uint32_t number);

/// Host name of all routes of the soak.
inline constexpr std::string_view soakHost = "h.example";
/// API key that is in every catalog, of an account without a limit.
inline constexpr std::string_view permanentKey = "lasting";
/// API key that is in every catalog, of limitedAccount.
inline constexpr std::string_view limitedKey = "limited";
/// Account with a request limit.
inline constexpr std::string_view limitedAccount = "few";
inline constexpr double limitedPerSecond = 15; ///< Requests per second.
inline constexpr double limitedBurst = 10; ///< Requests.

/// @return the API key that is only in this catalog version and the next one.
std::string temporaryKey(uint64_t version);
/// @return the soak's catalog with this version.
nlohmann::json makeCatalog(uint64_t version);
/// @return the account that an API key belongs to.
std::string accountOf(std::string_view key);

} // namespace Faults
