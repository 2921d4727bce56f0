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

TEST(EngineCodec, ASecondResponseOnTheConnectionAddsNoTokens)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    const std::string whole(wholeStream);
    const std::string firstEvent = whole.substr(0, whole.find("\r\n\r\n") + 4);
    struct row {
        const char* condition;
        std::string bytes;
        const char* text;
        const char* finishReason;
        bool isMalformed;
    };
    const row rows[] = {
        { "after a whole one", whole + head + whole, "a |b |", "stop", false },
        { "after one that broke off between two events", firstEvent + head + whole, "a |", "", true },
        { "after one that broke off inside an event", "data: {\"cho" + head + whole, "", "", true },
    };
    for (const row& item : rows) {
        engine_stream stream;
        std::string text;
        for (const std::string& token : readEngineBytes(stream, item.bytes))
            text += token + "|";
        STRCMP_EQUAL_TEXT(item.text, text.c_str(), item.condition);
        STRCMP_EQUAL_TEXT(item.finishReason, stream.finishReason.c_str(), item.condition);
        CHECK_EQUAL_TEXT(item.isMalformed, stream.isMalformed, item.condition);
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
