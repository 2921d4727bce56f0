/// @file
/// The search for a second response inside a body: its work and memory, and its independence of how the bytes arrive.

#include "Gateway/ResponseBoundary.h"

#include "Common/Random.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace {

using namespace Gateway;

constexpr size_t stepBytes = 8192;
/// A head and the longest line that is kept besides.
constexpr size_t maxKeptBytes = 4 * size_t { 32768 };

response_facts readResponse(const std::vector<Http::header>& lines)
{
    response_facts facts;
    facts.hasProofOfOrigin = !Http::findHeader(lines, "seal").empty();
    return facts;
}

wire_format makeWire()
{
    wire_format wire;
    wire.readResponse = readResponse;
    return wire;
}

std::string repeat(const std::string& text, size_t bytes)
{
    std::string repeated;
    while (repeated.size() < bytes)
        repeated += text;
    return repeated;
}

size_t keptBytes(const boundary_scanner& scanner)
{
    size_t bytes = scanner.line.size();
    for (const Http::header& line : scanner.headers)
        bytes += line.name.size() + line.value.size();
    return bytes;
}

/// @return the scanner after the body; the most it kept between two pieces is raised in mostKept.
boundary_scanner scanInPieces(const std::string& body, size_t pieceBytes, size_t& mostKept)
{
    boundary_scanner scanner;
    for (size_t start = 0; start < body.size(); start += pieceBytes) {
        scanBody(scanner, std::string_view(body).substr(start, pieceBytes), makeWire());
        mostKept = std::max(mostKept, keptBytes(scanner));
    }
    return scanner;
}

/// @return a body of pieces of heads, some with a changed byte.
std::string makeSpoiledBody(Common::random_source& random)
{
    const std::string parts[] = { "HTTP/1.1 ", "HTTP/1.1 200 OK", "\r\n", "\n", "seal: s\r\n", "Length: 5\r\n", "\r\n\r\n", "H", "HTT", "body ", ":", "503 " };
    std::string body;
    const uint32_t count = Common::uniformBelow(random, 40);
    for (uint32_t part = 0; part < count; ++part)
        body += parts[Common::uniformBelow(random, static_cast<uint32_t>(std::size(parts)))];
    if (!body.empty() && Common::uniformBelow(random, 2) == 0)
        body[Common::uniformBelow(random, static_cast<uint32_t>(body.size()))] = static_cast<char>(Common::uniformBelow(random, 256));
    return body;
}

} // namespace

TEST_GROUP(ResponseBoundary) {};

TEST(ResponseBoundary, WhatIsKeptBetweenStepsHasABoundWhateverABodyHolds)
{
    struct row {
        const char* condition;
        std::string repeated;
    };
    const row rows[] = {
        { "status lines", "HTTP/1.1 200 OK\r\n" },
        { "status lines without line ends", "HTTP/1.1 200 OK " },
        { "versions without line ends", "HTTP/1.1 " },
        { "empty heads", "HTTP/1.1 200 OK\r\n\r\n" },
        { "short heads", "HTTP/1.1 200 OK\r\na: b\r\n\r\n" },
        { "header lines", "a: b\r\n" },
        { "one line", "a" },
        { "blank lines", "\r\n" },
    };
    constexpr size_t bodyBytes = 4'000'000;
    for (const row& item : rows) {
        for (const std::string start : { "", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\na: " }) {
            size_t mostKept = 0;
            scanInPieces(start + repeat(item.repeated, bodyBytes), stepBytes, mostKept);
            CHECK_TEXT(mostKept <= maxKeptBytes, item.condition);
        }
    }
}

TEST(ResponseBoundary, TheVerdictDoesNotDependOnHowTheBytesArrive)
{
    for (uint64_t seed = 1; seed <= 3000; ++seed) {
        Common::random_source random(seed);
        const std::string body = makeSpoiledBody(random);
        size_t mostKept = 0;
        const boundary_scanner whole = scanInPieces(body, body.size() + 1, mostKept);
        for (const size_t pieceBytes : { 1, 2, 7 }) {
            const boundary_scanner pieces = scanInPieces(body, pieceBytes, mostKept);
            CHECK_EQUAL_TEXT(runsIntoResponse(whole, ""), runsIntoResponse(pieces, ""), std::to_string(seed).c_str());
            CHECK_EQUAL_TEXT(runsIntoResponse(whole, "TTP/1.1 200"), runsIntoResponse(pieces, "TTP/1.1 200"), std::to_string(seed).c_str());
        }
    }
}
