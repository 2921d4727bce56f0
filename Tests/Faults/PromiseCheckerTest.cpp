/// @file
/// Checks of the soak: each must report its violation, and must report none for allowed behavior.

#include "Faults/PromiseChecker.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

namespace {

using namespace Faults;
using ending = observed_answer::ending;

moment at(int ms)
{
    return moment(std::chrono::hours(1)) + milliseconds(ms);
}

work_request makeRequest(work_kind kind, const std::string& id = "c1-1", std::string_view key = permanentKey)
{
    return { id, kind, std::string(key), 2000 };
}

observed_run makeRun(const work_request& request, int ms, const std::string& endpoint = "e1")
{
    return { request.id, endpoint, targetOf(request), requestBody(request.id), accountOf(request.key), false, 1900, at(ms) };
}

observed_answer makeAnswer(const work_request& request, int status, ending end = ending::Complete)
{
    observed_answer answer { end, status, request.id, status == 200, "" };
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

/// @return the names of the violated rules in the order of their detection, separated by spaces.
std::string rulesOf(const promise_checker& checker)
{
    std::string rules;
    for (const breach& item : checker.breaches())
        rules += (rules.empty() ? "" : " ") + item.rule;
    return rules;
}

struct scenario {
    const char* description;
    const char* rules;
    void (*play)(promise_checker&);
    checker_settings settings {};
};

void check(const scenario& item)
{
    promise_checker checker(item.settings);
    checker.recordNodeStart(1, at(0));
    checker.recordCatalogSent(12);
    checker.recordCatalogAcknowledged(12, at(1));
    item.play(checker);
    STRCMP_EQUAL_TEXT(item.rules, rulesOf(checker).c_str(), item.description);
}

void serve(promise_checker& checker, const work_request& request, int ms, int status, int node = 1)
{
    checker.recordRequestSent(request, node, at(ms));
    checker.recordArrival(request.id, at(ms + 1));
    if (status == 200)
        checker.recordRun(makeRun(request, ms + 1));
    checker.recordAnswer(request.id, makeAnswer(request, status), at(ms + 2));
}

} // namespace

TEST_GROUP(PromiseChecker) {};

TEST(PromiseChecker, WrongOrIncompleteAnswerIsReported)
{
    const scenario rows[] = {
        { "served", "", [](promise_checker& checker) { serve(checker, makeRequest(work_kind::Idempotent), 10, 200); } },
        { "success without a run", "MIXED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.recordRequestSent(request, 1, at(10));
                checker.recordAnswer(request.id, makeAnswer(request, 200), at(20));
            } },
        { "answer to another request", "MIXED MIXED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.recordRequestSent(request, 1, at(10));
                checker.recordRun(makeRun(request, 11));
                checker.recordAnswer(request.id, makeAnswer(makeRequest(work_kind::Idempotent, "c2-2"), 200), at(20));
            } },
        { "no seal", "MIXED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.recordRequestSent(request, 1, at(10));
                checker.recordRun(makeRun(request, 11));
                observed_answer answer = makeAnswer(request, 200);
                answer.isSealed = false;
                checker.recordAnswer(request.id, answer, at(20));
            } },
        { "truncated answer marked as complete", "MIXED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.recordRequestSent(request, 1, at(10));
                checker.recordRun(makeRun(request, 11));
                observed_answer answer = makeAnswer(request, 200);
                answer.body.pop_back();
                checker.recordAnswer(request.id, answer, at(20));
            } },
        { "truncated answer marked as broken", "",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.recordRequestSent(request, 1, at(10));
                checker.recordRun(makeRun(request, 11));
                observed_answer answer = makeAnswer(request, 200, ending::Broken);
                answer.body.pop_back();
                checker.recordAnswer(request.id, answer, at(20));
            } },
    };
    for (const scenario& item : rows)
        check(item);
}

TEST(PromiseChecker, RepeatedOrSkippedStreamEventIsReported)
{
    struct row {
        const char* description;
        uint32_t firstTo;
        uint32_t secondFrom;
        ending end;
        const char* rules;
    };
    const std::string id = "c1-1";
    const uint32_t last = eventCount(id);
    const row rows[] = {
        { "complete", 2, 3, ending::Complete, "" },
        { "repeated event", 2, 2, ending::Complete, "ORDER" },
        { "skipped event", 1, 3, ending::Complete, "ORDER" },
        { "broken", 2, last + 1, ending::Broken, "" },
        { "truncated stream marked as complete", 2, last + 1, ending::Complete, "ORDER" },
    };
    for (const row& item : rows) {
        promise_checker checker({});
        const work_request request = makeRequest(work_kind::ResumableStream, id);
        checker.recordRequestSent(request, 1, at(0));
        checker.recordRun(makeRun(request, 1));
        observed_answer answer = makeAnswer(request, 200, item.end);
        answer.body = streamOf(id, 1, item.firstTo) + streamOf(id, item.secondFrom, last);
        checker.recordAnswer(id, answer, at(50));
        STRCMP_EQUAL_TEXT(item.rules, rulesOf(checker).c_str(), item.description);
    }
}

TEST(PromiseChecker, SecondRunAndRunOfARefusedRequestAreReported)
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
        checker.recordRequestSent(request, 1, at(0));
        for (int run = 0; run < item.runsBefore; ++run)
            checker.recordRun(makeRun(request, 1 + run));
        checker.recordAnswer(request.id, makeAnswer(request, item.status), at(20));
        for (int run = 0; run < item.runsAfter; ++run)
            checker.recordRun(makeRun(request, 30 + run));
        STRCMP_EQUAL(item.rules, rulesOf(checker).c_str());
    }
}

TEST(PromiseChecker, RequestChangedOnTheWayToTheEndpointIsReported)
{
    const scenario rows[] = {
        { "unknown request id", "UNASKED", [](promise_checker& checker) { checker.recordRun(makeRun(makeRequest(work_kind::Idempotent, "nobody"), 5)); } },
        { "changed target", "UNASKED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.recordRequestSent(request, 1, at(0));
                observed_run run = makeRun(request, 5);
                run.target += "&more";
                checker.recordRun(run);
            } },
        { "forwarded API key", "UNASKED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.recordRequestSent(request, 1, at(0));
                observed_run run = makeRun(request, 5);
                run.hasKey = true;
                checker.recordRun(run);
            } },
        { "account claimed by the caller", "UNASKED",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.recordRequestSent(request, 1, at(0));
                observed_run run = makeRun(request, 5);
                run.account = "forged";
                checker.recordRun(run);
            } },
        { "time budget larger than the caller's", "BUDGET",
            [](promise_checker& checker) {
                const work_request request = makeRequest(work_kind::Idempotent);
                checker.recordRequestSent(request, 1, at(0));
                observed_run run = makeRun(request, 5);
                run.timeBudgetMs = 2600;
                checker.recordRun(run);
            } },
    };
    for (const scenario& item : rows)
        check(item);
}

TEST(PromiseChecker, OutdatedCatalogOnANodeIsReported)
{
    const scenario rows[] = {
        { "accepts and refuses keys as its catalog does", "",
            [](promise_checker& checker) {
                serve(checker, makeRequest(work_kind::Idempotent, "a", temporaryKey(11)), 10, 200);
                serve(checker, makeRequest(work_kind::Idempotent, "b", temporaryKey(12)), 20, 200);
                serve(checker, makeRequest(work_kind::Idempotent, "c", temporaryKey(10)), 900, 401);
            } },
        { "accepts a removed key", "CONFIG",
            [](promise_checker& checker) {
                serve(checker, makeRequest(work_kind::Idempotent, "a", temporaryKey(12)), 10, 200);
                serve(checker, makeRequest(work_kind::Idempotent, "b", temporaryKey(10)), 900, 200);
            } },
        { "refuses a key that it accepted before", "CONFIG",
            [](promise_checker& checker) {
                serve(checker, makeRequest(work_kind::Idempotent, "a", temporaryKey(12)), 10, 200);
                serve(checker, makeRequest(work_kind::Idempotent, "b", temporaryKey(12)), 900, 401);
            } },
        { "new process with an older catalog", "",
            [](promise_checker& checker) {
                serve(checker, makeRequest(work_kind::Idempotent, "a", temporaryKey(12)), 10, 200);
                checker.recordNodeStart(1, at(500));
                serve(checker, makeRequest(work_kind::Idempotent, "b", temporaryKey(10)), 900, 200);
            } },
        { "refuses a key that is in every catalog", "DENIED", [](promise_checker& checker) { serve(checker, makeRequest(work_kind::Idempotent), 10, 401); } },
        { "answers 404 on an existing route", "DENIED", [](promise_checker& checker) { serve(checker, makeRequest(work_kind::Idempotent), 10, 404); } },
        { "uses a new catalog too late", "CONFIG", [](promise_checker& checker) { serve(checker, makeRequest(work_kind::Idempotent, "a", temporaryKey(12)), 4500, 401); }, { true, false } },
        { "uses a new catalog late after a fault", "",
            [](promise_checker& checker) {
                checker.recordDisturbance(at(1000));
                serve(checker, makeRequest(work_kind::Idempotent, "a", temporaryKey(12)), 4500, 401);
            },
            { true, false } },
    };
    for (const scenario& item : rows)
        check(item);
}

TEST(PromiseChecker, LossDuringPlannedOperationsIsReported)
{
    struct row {
        const char* description;
        int runs;
        int brokenAt;
        checker_settings settings;
        const char* rules;
    };
    const row rows[] = {
        { "broken after the run", 1, 20, { true, true }, "LOST" },
        { "sent while the connection was being closed", 0, 20, { true, true }, "" },
        { "broken long after sending, without a run", 0, 400, { true, true }, "LOST" },
        { "run with unplanned faults", 1, 20, { true, false }, "" },
    };
    for (const row& item : rows) {
        promise_checker checker(item.settings);
        const work_request request = makeRequest(work_kind::AtMostOnce);
        checker.recordRequestSent(request, 1, at(0));
        if (item.runs > 0)
            checker.recordRun(makeRun(request, 1));
        checker.recordAnswer(request.id, makeAnswer(request, 0, ending::Broken), at(item.brokenAt));
        STRCMP_EQUAL_TEXT(item.rules, rulesOf(checker).c_str(), item.description);
    }
}

TEST(PromiseChecker, RequestToADrainingEndpointAfterTheBoundIsReported)
{
    struct row {
        int sentAt;
        const char* rules;
    };
    const row rows[] = { { 3500, "" }, { 4500, "DRAIN" } };
    for (const row& item : rows) {
        promise_checker checker({ true, false });
        checker.recordEndpointDraining("e1", at(0));
        const work_request request = makeRequest(work_kind::Idempotent);
        checker.recordRequestSent(request, 1, at(item.sentAt));
        checker.recordRun(makeRun(request, item.sentAt + 1));
        STRCMP_EQUAL(item.rules, rulesOf(checker).c_str());
    }
}

TEST(PromiseChecker, RequestAfterTheNodePassedOnThatTheEndpointLeavesIsReported)
{
    struct row {
        const char* description;
        bool saysLeaving; ///< In the answer that the caller got at 10 ms.
        int resumedAt; ///< End of a freeze of the node; zero: none.
        int startedAt; ///< Of the node's next process; zero: none.
        int node; ///< Of the second request.
        const char* endpoint;
        int sentAt;
        const char* rules;
    };
    const row rows[] = {
        { "within the bound", true, 0, 0, 1, "e1", 4000, "" },
        { "after the bound", true, 0, 0, 1, "e1", 4100, "DRAIN" },
        { "the caller never got the answer", false, 0, 0, 1, "e1", 4100, "" },
        { "from another node", true, 0, 0, 2, "e1", 4100, "" },
        { "at another endpoint", true, 0, 0, 1, "e2", 4100, "" },
        { "frozen since", true, 500, 0, 1, "e1", 4100, "" },
        { "restarted since", true, 0, 500, 1, "e1", 4100, "" },
        { "the answer was on its way during a freeze", true, 6, 0, 1, "e1", 4100, "" },
    };
    for (const row& item : rows) {
        promise_checker checker({});
        checker.recordNodeStart(1, at(0));
        checker.recordNodeStart(2, at(0));
        const work_request first = makeRequest(work_kind::Idempotent, "c1-1");
        checker.recordRequestSent(first, 1, at(5));
        checker.recordRun(makeRun(first, 7));
        checker.recordLeavingStated(first.id, "e1");
        if (item.resumedAt > 0)
            checker.recordNodeResumed(1, at(item.resumedAt));
        observed_answer answer = makeAnswer(first, 200);
        answer.saysLeaving = item.saysLeaving;
        checker.recordAnswer(first.id, answer, at(10));
        if (item.startedAt > 0)
            checker.recordNodeStart(1, at(item.startedAt));
        const work_request second = makeRequest(work_kind::Idempotent, "c1-2");
        checker.recordRequestSent(second, item.node, at(item.sentAt));
        checker.recordRequestReceived(second.id, item.endpoint, at(item.sentAt + 1));
        STRCMP_EQUAL_TEXT(item.rules, rulesOf(checker).c_str(), item.description);
    }
}

TEST(PromiseChecker, ThirdRequestInTheTimeOfARetryAfterIsReported)
{
    struct row {
        const char* description;
        std::vector<int> arrivals; ///< After a refusal at 10 ms with a Retry-After of 2 s.
        int node;
        const char* endpoint;
        int resumedAt; ///< End of a freeze of the node; zero: none.
        int linkRepairedAt; ///< End of a disturbance of the endpoint's link; zero: none.
        const char* rules;
    };
    const row rows[] = {
        { "two", { 600, 700 }, 1, "e1", 0, 0, "" },
        { "three", { 600, 700, 2000 }, 1, "e1", 0, 0, "BUDGET" },
        { "five are one breach", { 600, 700, 800, 900, 2000 }, 1, "e1", 0, 0, "BUDGET" },
        { "in the first half second", { 20, 30, 40, 500, 600, 700 }, 1, "e1", 0, 0, "" },
        { "after its end", { 600, 700, 2020, 2030 }, 1, "e1", 0, 0, "" },
        { "from another node", { 600, 700, 800 }, 2, "e1", 0, 0, "" },
        { "at its replacement", { 600, 700, 800 }, 1, "e1.1", 0, 0, "" },
        { "frozen since", { 600, 700, 800 }, 1, "e1", 550, 0, "" },
        { "the link was disturbed since", { 600, 700, 800 }, 1, "e1", 0, 550, "" },
        { "the link was disturbed just before", { 600, 700, 800 }, 1, "e1", 0, 5, "" },
    };
    for (const row& item : rows) {
        promise_checker checker({});
        checker.recordNodeStart(1, at(0));
        checker.recordNodeStart(2, at(0));
        const work_request refused = makeRequest(work_kind::Idempotent, "c1-1");
        checker.recordRequestSent(refused, 1, at(4));
        if (item.linkRepairedAt > 0 && item.linkRepairedAt <= 10)
            checker.recordEndpointLinkDisturbed("e1", at(item.linkRepairedAt));
        checker.recordBackoffStated({ refused.id, "e1", milliseconds(2000), at(10), at(11) });
        if (item.resumedAt > 0)
            checker.recordNodeResumed(1, at(item.resumedAt));
        if (item.linkRepairedAt > 10)
            checker.recordEndpointLinkDisturbed("e1", at(item.linkRepairedAt));
        for (const int arrival : item.arrivals) {
            const work_request request = makeRequest(work_kind::Idempotent, fmt::format("c2-{}", arrival));
            checker.recordRequestSent(request, item.node, at(arrival - 1));
            checker.recordRequestReceived(request.id, item.endpoint, at(arrival));
        }
        STRCMP_EQUAL_TEXT(item.rules, rulesOf(checker).c_str(), item.description);
    }
}

TEST(PromiseChecker, RunsOverTheAllowanceAndRetriesOverTheBudgetAreReported)
{
    struct row {
        std::string_view key;
        int requests;
        int runsEach;
        int spreadMs; ///< Time between two requests.
        const char* rules;
    };
    const row rows[] = {
        { limitedKey, 150, 1, 1, "" },
        { limitedKey, 160, 1, 1, "QUOTA" },
        { limitedKey, 400, 1, 66, "" },
        { permanentKey, 400, 1, 1, "" },
        { permanentKey, 20, 2, 1, "" },
        { permanentKey, 100, 2, 1, "BUDGET" },
    };
    for (const row& item : rows) {
        promise_checker checker({});
        for (int number = 0; number < item.requests; ++number) {
            const work_request request = makeRequest(work_kind::Idempotent, fmt::format("c1-{}", number), item.key);
            checker.recordRequestSent(request, 1, at(number * item.spreadMs));
            for (int run = 0; run < item.runsEach; ++run) {
                checker.recordArrival(request.id, at(number * item.spreadMs));
                checker.recordRun(makeRun(request, number * item.spreadMs));
            }
        }
        checker.finish({});
        STRCMP_EQUAL(item.rules, rulesOf(checker).c_str());
    }
}

TEST(PromiseChecker, SecondHolderOfATokenAndChangedUsageReportAreReported)
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
