#pragma once

/// @file
/// The requests of the soak and the answers that they must get. An endpoint and a caller work out the same answer from a
/// request's id alone, so that a mixed-up answer shows.

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace Faults {

enum class work_kind {
    Idempotent,
    AtMostOnce,
    Stream, ///< Runs once; a broken one ends broken.
    ResumableStream, ///< Goes on at another endpoint.
};

constexpr int workKindCount = 4;

struct work_request {
    std::string id;
    work_kind kind { work_kind::Idempotent };
    std::string key;
    int timeBudgetMs { 0 };
};

/// @return whether a request of the kind may run more than once.
bool mayRunAgain(work_kind kind);
/// @return whether the answer is a stream of events.
bool isStream(work_kind kind);

/// @return path and query of a request.
std::string targetOf(const work_request& request);
/// @return the kind that a path belongs to; the last kind for an unknown one.
work_kind kindOf(std::string_view target);
/// @return the body that the caller sends.
std::string requestBody(std::string_view id);
/// @return the whole request as bytes.
std::string writeRequest(const work_request& request);

/// @return the body of a plain answer.
std::string answerBody(std::string_view id);
/// @return how many events the stream of a request has.
uint32_t eventCount(std::string_view id);
/// @return one event as bytes; the first is number 1.
std::string eventBytes(std::string_view id, uint32_t number);

/// Host that all routes of the soak have.
inline constexpr std::string_view soakHost = "h.example";
/// A key that every catalog holds, of an account without a limit.
inline constexpr std::string_view lastingKey = "lasting";
/// A key of an account with a limit.
inline constexpr std::string_view limitedKey = "limited";
inline constexpr std::string_view limitedAccount = "few";
inline constexpr double limitedPerSecond = 15;
inline constexpr double limitedBurst = 10;

/// @return the key that only this version of the catalog and the one after it hold.
std::string passingKey(uint64_t version);
/// @return the catalog of the soak at a version.
nlohmann::json makeCatalog(uint64_t version);
/// @return the account that holds a key.
std::string accountOf(std::string_view key);

} // namespace Faults
