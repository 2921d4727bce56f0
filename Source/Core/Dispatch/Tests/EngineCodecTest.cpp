/// @file
/// Decoding of engine streams: split at any byte, malformed, without line ends.

#include "Dispatch/EngineCodec.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Dispatch;

constexpr std::string_view wholeStream = "data: {\"choices\":[{\"delta\":{\"content\":\"a \"},\"finish_reason\":null}]}\r\n\r\n"
                                         ": a comment\n"
                                         "data: {\"choices\":[{\"delta\":{\"content\":\"b \"},\"finish_reason\":\"stop\"}]}\n\n"
                                         "data: [DONE]\n\n";

} // namespace

TEST_GROUP(EngineCodec) {};

TEST(EngineCodec, TheTokensAreTheSameWhereverTheStreamIsSplit)
{
    for (size_t chunkSize = 1; chunkSize <= wholeStream.size(); ++chunkSize) {
        engine_stream stream;
        std::string text;
        for (size_t start = 0; start < wholeStream.size(); start += chunkSize) {
            for (const std::string& token : readEngineBytes(stream, wholeStream.substr(start, chunkSize)))
                text += token + "|";
        }
        STRCMP_EQUAL("a |b |", text.c_str());
        STRCMP_EQUAL("stop", stream.finishReason.c_str());
        CHECK(!stream.isMalformed);
    }
}

TEST(EngineCodec, AMalformedStreamIsNotAFinishedAnswer)
{
    const char* rows[] = {
        "data: {{{\n\n",
        "data: []\n\n",
        "data: {\"choices\":7}\n\n",
        "data: \xff\xfe\n\n",
    };
    for (const char* bytes : rows) {
        engine_stream stream;
        CHECK(readEngineBytes(stream, bytes).empty());
        CHECK(stream.isMalformed);
    }
}

TEST(EngineCodec, AnEventOverTheSizeLimitIsMalformed)
{
    engine_stream stream;
    const std::string endless(maxEngineEventBytes + 1, 'x');
    static_cast<void>(readEngineBytes(stream, endless));
    CHECK(stream.isMalformed);
}
