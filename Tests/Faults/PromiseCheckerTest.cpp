/// @file
/// The soak's checks: each must see its breach, and must not see one in what is allowed.

#include "Faults/PromiseChecker.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

namespace {

using namespace Faults;
using ending = answer_seen::ending;

moment at(int ms)
{
    return moment(std::chrono::hours(1)) + milliseconds(ms);
}

work_request makeRequest(work_kind kind, const std::string& id = "c1-1", std::string_view key = lastingKey)
{
    return { id, kind, std::string(key), 2000 };
}

run_seen makeRun(const work_request& request, int ms, const std::string& endpoint = "e1")
{
    return { request.id, endpoint, targetOf(request), requestBody(request.id), accountOf(request.key), false, 1900, at(ms) };
}

answer_seen makeAnswer(const work_request& request, int status, ending end = ending::Complete)
{
    answer_seen answer { end, status, request.id, status == 200, "" };
    if (status == 200 && !isStream(request.kind))
        answer.body = answerBody(request.id);
    return answer;
}

std::string streamOf(const std::string& id, uint32_t from, uint32_t to)
{
    std::string events;
    for (uint32_t number = from; number <= to; ++number)
        events += eventBytes(id, number);
    return events;
}

/// The rules broken, in order, separated by spaces.
std::string rulesOf(const promise_checker& checker)
{
    std::string rules;
    for (const breach& item : checker.breaches())
        rules += (rules.empty() ? "" : " ") + item.rule;
    return rules;
}

struct history {
    const char* what;
    const char* rules;
    void (*play)(promise_checker&);
    checker_settings settings {};
};

void check(const history& item)
{
    promise_checker checker(item.settings);
    checker.noteNodeStart(1, at(0));
    checker.noteCatalogSent(12);
    checker.noteCatalogAcknowledged(12, at(1));
    item.play(checker);
    STRCMP_EQUAL_TEXT(item.rules, rulesOf(checker).c_str(), item.what);
}

void serve(promise_checker& checker, const work_request& request, int ms, int status, int node = 1)
{
    checker.noteSent(request, node, at(ms));
    checker.noteArrival(request.id, at(ms + 1));
    if (status == 200)
        checker.noteRun(makeRun(request, ms + 1));
    checker.noteAnswer(request.id, makeAnswer(request, status), at(ms + 2));
}

} // namespace

TEST_GROUP(PromiseChecker) {};

TEST(PromiseChecker, AnswersAreTheCallersOwnAndWhole)
{
    const history rows[] = {
        { "served", "", [](promise_checker& checker) { serve(checker, makeRequest(work_kind::Idempotent), 10, 200); } },
        { "never ran", "MIXED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.noteSent(request, 1, at(10));
                checker.noteAnswer(request.id, makeAnswer(request, 200), at(20));
            } },
        { "another request's answer", "MIXED MIXED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.noteSent(request, 1, at(10));
                checker.noteRun(makeRun(request, 11));
                checker.noteAnswer(request.id, makeAnswer(makeRequest(work_kind::Idempotent, "c2-2"), 200), at(20));
            } },
        { "no seal", "MIXED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.noteSent(request, 1, at(10));
                checker.noteRun(makeRun(request, 11));
                answer_seen answer = makeAnswer(request, 200);
                answer.isSealed = false;
                checker.noteAnswer(request.id, answer, at(20));
            } },
        { "cut short and called complete", "MIXED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.noteSent(request, 1, at(10));
                checker.noteRun(makeRun(request, 11));
                answer_seen answer = makeAnswer(request, 200);
                answer.body.pop_back();
                checker.noteAnswer(request.id, answer, at(20));
            } },
        { "cut short and shown broken", "",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.noteSent(request, 1, at(10));
                checker.noteRun(makeRun(request, 11));
                answer_seen answer = makeAnswer(request, 200, ending::Broken);
                answer.body.pop_back();
                checker.noteAnswer(request.id, answer, at(20));
            } },
    };
    for (const history& item : rows)
        check(item);
}

TEST(PromiseChecker, StreamsGoOnWhereTheyWere)
{
    struct row {
        const char* what;
        uint32_t firstTo;
        uint32_t secondFrom;
        ending end;
        const char* rules;
    };
    const std::string id = "c1-1";
    const uint32_t last = eventCount(id);
    const row rows[] = {
        { "whole", 2, 3, ending::Complete, "" },
        { "an event twice", 2, 2, ending::Complete, "ORDER" },
        { "an event left out", 1, 3, ending::Complete, "ORDER" },
        { "broken", 2, last + 1, ending::Broken, "" },
        { "ended as complete", 2, last + 1, ending::Complete, "ORDER" },
    };
    for (const row& item : rows) {
        promise_checker checker({});
        const work_request request = makeRequest(work_kind::ResumableStream, id);
        checker.noteSent(request, 1, at(0));
        checker.noteRun(makeRun(request, 1));
        answer_seen answer = makeAnswer(request, 200, item.end);
        answer.body = streamOf(id, 1, item.firstTo) + streamOf(id, item.secondFrom, last);
        checker.noteAnswer(id, answer, at(50));
        STRCMP_EQUAL_TEXT(item.rules, rulesOf(checker).c_str(), item.what);
    }
}

TEST(PromiseChecker, WhatRunsOnceRunsOnceAndARefusalIsTrue)
{
    struct row {
        work_kind kind;
        int runsBefore;
        int status;
        int runsAfter;
        const char* rules;
    };
    const row rows[] = {
        { work_kind::AtMostOnce, 1, 502, 0, "" },
        { work_kind::AtMostOnce, 2, 502, 0, "TWICE" },
        { work_kind::Stream, 2, 502, 0, "TWICE" },
        { work_kind::Idempotent, 2, 502, 0, "" },
        { work_kind::AtMostOnce, 0, 503, 0, "" },
        { work_kind::AtMostOnce, 1, 503, 0, "REFUSED" },
        { work_kind::AtMostOnce, 1, 429, 0, "REFUSED" },
        { work_kind::AtMostOnce, 0, 503, 1, "REFUSED" },
        { work_kind::Idempotent, 1, 503, 1, "" },
    };
    for (const row& item : rows) {
        promise_checker checker({});
        const work_request request = makeRequest(item.kind);
        checker.noteSent(request, 1, at(0));
        for (int run = 0; run < item.runsBefore; ++run)
            checker.noteRun(makeRun(request, 1 + run));
        checker.noteAnswer(request.id, makeAnswer(request, item.status), at(20));
        for (int run = 0; run < item.runsAfter; ++run)
            checker.noteRun(makeRun(request, 30 + run));
        STRCMP_EQUAL(item.rules, rulesOf(checker).c_str());
    }
}

TEST(PromiseChecker, EndpointsGetWhatTheCallerSentAndNothingElse)
{
    const history rows[] = {
        { "an unknown id", "UNASKED", [](promise_checker& checker) { checker.noteRun(makeRun(makeRequest(work_kind::Idempotent, "nobody"), 5)); } },
        { "another target", "UNASKED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.noteSent(request, 1, at(0));
                run_seen run = makeRun(request, 5);
                run.target += "&more";
                checker.noteRun(run);
            } },
        { "the key passed on", "UNASKED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.noteSent(request, 1, at(0));
                run_seen run = makeRun(request, 5);
                run.hasKey = true;
                checker.noteRun(run);
            } },
        { "the account that the caller claims", "UNASKED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.noteSent(request, 1, at(0));
                run_seen run = makeRun(request, 5);
                run.account = "forged";
                checker.noteRun(run);
            } },
        { "more time than is left", "BUDGET",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.noteSent(request, 1, at(0));
                run_seen run = makeRun(request, 5);
                run.timeBudgetMs = 2600;
                checker.noteRun(run);
            } },
    };
    for (const history& item : rows)
        check(item);
}

TEST(PromiseChecker, ANodeNeverFallsBehindACatalogThatItHasShown)
{
    const history rows[] = {
        { "follows", "",
            [](promise_checker& checker) {
                serve(checker, makeRequest(work_kind::Idempotent, "a", passingKey(11)), 10, 200);
                serve(checker, makeRequest(work_kind::Idempotent, "b", passingKey(12)), 20, 200);
                serve(checker, makeRequest(work_kind::Idempotent, "c", passingKey(10)), 900, 401);
            } },
        { "takes a key that went", "CONFIG",
            [](promise_checker& checker) {
                serve(checker, makeRequest(work_kind::Idempotent, "a", passingKey(12)), 10, 200);
                serve(checker, makeRequest(work_kind::Idempotent, "b", passingKey(10)), 900, 200);
            } },
        { "refuses a key that it took", "CONFIG",
            [](promise_checker& checker) {
                serve(checker, makeRequest(work_kind::Idempotent, "a", passingKey(12)), 10, 200);
                serve(checker, makeRequest(work_kind::Idempotent, "b", passingKey(12)), 900, 401);
            } },
        { "a new process may know less", "",
            [](promise_checker& checker) {
                serve(checker, makeRequest(work_kind::Idempotent, "a", passingKey(12)), 10, 200);
                checker.noteNodeStart(1, at(500));
                serve(checker, makeRequest(work_kind::Idempotent, "b", passingKey(10)), 900, 200);
            } },
        { "refuses a key of every catalog", "DENIED", [](promise_checker& checker) { serve(checker, makeRequest(work_kind::Idempotent), 10, 401); } },
        { "finds no route", "DENIED", [](promise_checker& checker) { serve(checker, makeRequest(work_kind::Idempotent), 10, 404); } },
        { "is late", "CONFIG", [](promise_checker& checker) { serve(checker, makeRequest(work_kind::Idempotent, "a", passingKey(12)), 4500, 401); }, { true, false } },
        { "is late after a disturbance", "",
            [](promise_checker& checker) {
                checker.noteDisturbance(at(1000));
                serve(checker, makeRequest(work_kind::Idempotent, "a", passingKey(12)), 4500, 401);
            },
            { true, false } },
    };
    for (const history& item : rows)
        check(item);
}

TEST(PromiseChecker, PlannedWorkLosesNothing)
{
    struct row {
        const char* what;
        int runs;
        int brokenAt;
        checker_settings settings;
        const char* rules;
    };
    const row rows[] = {
        { "ran", 1, 20, { true, true }, "LOST" },
        { "crossed the close", 0, 20, { true, true }, "" },
        { "cut late", 0, 400, { true, true }, "LOST" },
        { "other faults are about", 1, 20, { true, false }, "" },
    };
    for (const row& item : rows) {
        promise_checker checker(item.settings);
        const work_request request = makeRequest(work_kind::AtMostOnce);
        checker.noteSent(request, 1, at(0));
        if (item.runs > 0)
            checker.noteRun(makeRun(request, 1));
        checker.noteAnswer(request.id, makeAnswer(request, 0, ending::Broken), at(item.brokenAt));
        STRCMP_EQUAL_TEXT(item.rules, rulesOf(checker).c_str(), item.what);
    }
}

TEST(PromiseChecker, ALeavingEndpointIsLeftInTime)
{
    struct row {
        int sentAt;
        const char* rules;
    };
    const row rows[] = { { 3500, "" }, { 4500, "DRAIN" } };
    for (const row& item : rows) {
        promise_checker checker({ true, false });
        checker.noteEndpointLeaving("e1", at(0));
        const work_request request = makeRequest(work_kind::Idempotent);
        checker.noteSent(request, 1, at(item.sentAt));
        checker.noteRun(makeRun(request, item.sentAt + 1));
        STRCMP_EQUAL(item.rules, rulesOf(checker).c_str());
    }
}

TEST(PromiseChecker, AllowancesAndRepeatsAreBoundedOverAllNodes)
{
    struct row {
        std::string_view key;
        int requests;
        int runsEach;
        int spreadMs; ///< Between two requests.
        const char* rules;
    };
    const row rows[] = {
        { limitedKey, 150, 1, 1, "" },
        { limitedKey, 160, 1, 1, "QUOTA" },
        { limitedKey, 400, 1, 66, "" },
        { lastingKey, 400, 1, 1, "" },
        { lastingKey, 20, 2, 1, "" },
        { lastingKey, 100, 2, 1, "BUDGET" },
    };
    for (const row& item : rows) {
        promise_checker checker({});
        for (int number = 0; number < item.requests; ++number) {
            const work_request request = makeRequest(work_kind::Idempotent, fmt::format("c1-{}", number), item.key);
            checker.noteSent(request, 1, at(number * item.spreadMs));
            for (int run = 0; run < item.runsEach; ++run) {
                checker.noteArrival(request.id, at(number * item.spreadMs));
                checker.noteRun(makeRun(request, number * item.spreadMs));
            }
        }
        checker.finish({});
        STRCMP_EQUAL(item.rules, rulesOf(checker).c_str());
    }
}

TEST(PromiseChecker, ADutyHasOneHolderAndAWindowOneReport)
{
    using PlatformTests::duty_call;
    const auto usage = [](const char* holder, uint64_t fence, int count, bool isAccepted = true) {
        return duty_call { "usage", holder, fence, fmt::format(R"({{"windowId":7,"counts":{{"many":{}}}}})", count), at(0), isAccepted };
    };
    struct row {
        std::vector<duty_call> calls;
        const char* rules;
    };
    const row rows[] = {
        { { usage("n1", 1, 5), usage("n1", 1, 5) }, "" },
        { { usage("n1", 1, 5), usage("n2", 2, 5) }, "" },
        { { usage("n1", 1, 5), usage("n2", 2, 6) }, "ONE" },
        { { usage("n1", 1, 5), usage("n2", 2, 6, false) }, "" },
        { { usage("n1", 1, 5), usage("n2", 1, 5) }, "ONE" },
    };
    for (const row& item : rows) {
        promise_checker checker({});
        checker.finish(item.calls);
        STRCMP_EQUAL(item.rules, rulesOf(checker).c_str());
    }
}
