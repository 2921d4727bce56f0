/// @file
/// The next step after an attempt has ended, and the splitting of a stream into events.

#include "Gateway/CallFlow.h"
#include "Gateway/EventStream.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Gateway;

} // namespace

TEST_GROUP(CallFlow) {};

TEST(CallFlow, TheNextStepFollowsFromProgressAndAttemptEnd)
{
    struct row {
        const char* condition;
        call_progress progress; ///< mayRetry, isResumable, hasHeadSent, endpointsRun, maxEndpoints, refusals, hasTimeLeft
        attempt_end end;
        next_step step;
    };
    const row rows[] = {
        { "nothing was written", { false, false, false, 0, 1, 1, true }, attempt_end::NotSent, next_step::RetryUnbudgeted },
        { "not run, time left", { false, false, false, 0, 1, 1, true }, attempt_end::NotRun, next_step::Retry },
        { "not run, no time", { false, false, false, 0, 1, 1, false }, attempt_end::NotRun, next_step::Refuse },
        { "not run by three endpoints", { false, false, false, 0, 1, 3, true }, attempt_end::NotRun, next_step::Refuse },
        { "not run now, but may have run before", { true, false, false, 1, 2, 1, false }, attempt_end::NotRun, next_step::FailUnknown },
        { "at most once, broken", { false, false, false, 1, 3, 0, true }, attempt_end::Broken, next_step::FailUnknown },
        { "retryable, broken", { true, false, false, 1, 2, 0, true }, attempt_end::Broken, next_step::Retry },
        { "retryable, all endpoints used", { true, false, false, 2, 2, 0, true }, attempt_end::Broken, next_step::FailUnknown },
        { "retryable, failed", { true, false, false, 1, 2, 0, true }, attempt_end::Failed, next_step::Retry },
        { "at most once, failed", { false, false, false, 1, 2, 0, true }, attempt_end::Failed, next_step::ForwardResponse },
        { "answered", { false, false, false, 1, 1, 0, true }, attempt_end::Answered, next_step::ForwardResponse },
        { "timed out", { true, false, false, 1, 2, 0, true }, attempt_end::TimedOut, next_step::FailTimeout },
        { "stream broken after its head was sent", { false, false, true, 1, 1, 0, true }, attempt_end::Broken, next_step::AbortResponse },
        { "resumable stream broken after its head was sent", { true, true, true, 1, 2, 0, true }, attempt_end::Broken, next_step::Retry },
        { "resumed stream fails at the second endpoint", { true, true, true, 2, 2, 0, true }, attempt_end::Failed, next_step::AbortResponse },
        { "resumed stream not run by further endpoints", { true, true, true, 1, 2, 3, true }, attempt_end::NotRun, next_step::AbortResponse },
        { "stream not run after its head was sent", { false, false, true, 0, 1, 1, true }, attempt_end::NotRun, next_step::AbortResponse },
        { "stream not sent after its head was sent", { false, false, true, 0, 1, 1, true }, attempt_end::NotSent, next_step::AbortResponse },
        { "stream timed out after its head was sent", { true, true, true, 1, 2, 0, true }, attempt_end::TimedOut, next_step::AbortResponse },
    };
    for (const row& item : rows)
        CHECK_TEXT(item.step == decideNext(item.progress, item.end), item.condition);
}

TEST_GROUP(EventStream) {};

TEST(EventStream, EventsAreForwardedWholeForEveryChunkSize)
{
    const std::string whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (size_t piece = 1; piece <= whole.size(); ++piece) {
        event_reader reader;
        stream_position position;
        std::string forwarded;
        for (size_t start = 0; start < whole.size(); start += piece)
            forwarded += extractEvents(reader, position, std::string_view(whole).substr(start, piece));
        STRCMP_EQUAL(whole.c_str(), forwarded.c_str());
        CHECK_EQUAL(3, position.eventCount);
        CHECK_EQUAL(3, *position.lastId);
        CHECK(reader.partial.empty());
    }
}

TEST(EventStream, AResumedStreamHasNoMissingAndNoDuplicateEvents)
{
    stream_position position;
    event_reader broken = makeEventReader(position);
    std::string forwarded = extractEvents(broken, position, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    event_reader resumed = makeEventReader(position);
    forwarded += extractEvents(resumed, position, "id: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n");
    STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n", forwarded.c_str());
}
