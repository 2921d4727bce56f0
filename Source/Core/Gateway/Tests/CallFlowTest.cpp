/// @file
/// What follows the end of an attempt, and the events of a stream.

#include "Gateway/CallFlow.h"
#include "Gateway/EventStream.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Gateway;

} // namespace

TEST_GROUP(CallFlow) {};

TEST(CallFlow, NoStepPromisesOrRepeatsWhatItMustNot)
{
    struct row {
        const char* what;
        call_progress progress; ///< mayRepeat, isResumable, hasHeadSent, endpointsRun, maxEndpoints, refusals, hasTimeLeft
        attempt_end end;
        next_step step;
    };
    const row rows[] = {
        { "nothing was written", { false, false, false, 0, 1, 1, true }, attempt_end::NotSent, next_step::TryAnotherFreely },
        { "not run, time left", { false, false, false, 0, 1, 1, true }, attempt_end::NotRun, next_step::TryAnother },
        { "not run, no time", { false, false, false, 0, 1, 1, false }, attempt_end::NotRun, next_step::Refuse },
        { "not run by three", { false, false, false, 0, 1, 3, true }, attempt_end::NotRun, next_step::Refuse },
        { "not run now, but may have run before", { true, false, false, 1, 2, 1, false }, attempt_end::NotRun, next_step::FailUnknown },
        { "at most once, broken", { false, false, false, 1, 3, 0, true }, attempt_end::Broken, next_step::FailUnknown },
        { "may repeat, broken", { true, false, false, 1, 2, 0, true }, attempt_end::Broken, next_step::TryAnother },
        { "may repeat, all endpoints used", { true, false, false, 2, 2, 0, true }, attempt_end::Broken, next_step::FailUnknown },
        { "may repeat, failed", { true, false, false, 1, 2, 0, true }, attempt_end::Failed, next_step::TryAnother },
        { "at most once, failed", { false, false, false, 1, 2, 0, true }, attempt_end::Failed, next_step::GiveAnswer },
        { "answered", { false, false, false, 1, 1, 0, true }, attempt_end::Answered, next_step::GiveAnswer },
        { "timed out", { true, false, false, 1, 2, 0, true }, attempt_end::TimedOut, next_step::FailTimeout },
        { "stream broken midway", { false, false, true, 1, 1, 0, true }, attempt_end::Broken, next_step::CutAnswer },
        { "resumable stream broken midway", { true, true, true, 1, 2, 0, true }, attempt_end::Broken, next_step::TryAnother },
        { "resumed stream fails at the second", { true, true, true, 2, 2, 0, true }, attempt_end::Failed, next_step::CutAnswer },
        { "resumed stream refused by the second", { true, true, true, 1, 2, 3, true }, attempt_end::NotRun, next_step::CutAnswer },
        { "stream timed out midway", { true, true, true, 1, 2, 0, true }, attempt_end::TimedOut, next_step::CutAnswer },
    };
    for (const row& item : rows)
        CHECK_TEXT(item.step == decideNext(item.progress, item.end), item.what);
}

TEST_GROUP(EventStream) {};

TEST(EventStream, EventsPassWholeHoweverTheBytesAreCut)
{
    const std::string whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (size_t piece = 1; piece <= whole.size(); ++piece) {
        event_reader reader;
        std::string passed;
        for (size_t start = 0; start < whole.size(); start += piece)
            passed += takeEvents(reader, std::string_view(whole).substr(start, piece));
        STRCMP_EQUAL(whole.c_str(), passed.c_str());
        CHECK_EQUAL(3, reader.events);
        CHECK_EQUAL(3, *reader.lastId);
        CHECK(reader.partial.empty());
    }
}

TEST(EventStream, AResumedStreamHasNoGapAndNoRepeat)
{
    event_reader reader;
    std::string passed = takeEvents(reader, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    beginResumption(reader);
    passed += takeEvents(reader, "id: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n");
    STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n", passed.c_str());
}
