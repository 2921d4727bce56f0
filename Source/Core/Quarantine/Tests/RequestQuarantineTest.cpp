/// @file
/// When requests with a fingerprint are quarantined, who may try it again, and what is kept about it.

#include "Quarantine/RequestQuarantine.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Quarantine;

const fingerprint bad { 7 };

Common::instant at(int64_t ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

unanswered_request crashOf(int endpoint, int64_t ms, std::vector<fingerprint> fingerprints = { bad }, milliseconds exposure = milliseconds(300))
{
    return { { { "e" + std::to_string(endpoint) }, { 1 } }, { "s" }, std::move(fingerprints), at(ms), exposure };
}

bool isRefused(quarantine_state& state, int64_t ms, std::vector<fingerprint> fingerprints = { bad })
{
    return judgeRequest(state, fingerprints, at(ms)).refusedFor.has_value();
}

quarantine_state makeQuarantined()
{
    quarantine_state state;
    state.self = { "n1" };
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        recordCrash(state, crashOf(endpoint, endpoint * 200), at(400));
    return state;
}

} // namespace

TEST_GROUP(RequestQuarantine) {};

TEST(RequestQuarantine, ARequestIsRefusedOnlyAfterCrashesOfSeveralEndpointsWithoutAnAnswer)
{
    struct crash {
        int endpoint;
        int ms;
        int exposureMs { 300 };
    };
    struct row {
        const char* condition;
        std::vector<crash> crashes;
        int answeredAtMs; ///< Negative: never.
        bool isRefused;
        bool mayRetry; ///< After an endpoint may have run the request.
    };
    const row rows[] = {
        { "no crash", {}, -1, false, true },
        { "one", { { 1, 0 } }, -1, false, true },
        { "two", { { 1, 0 }, { 2, 300 } }, -1, false, false },
        { "three", { { 1, 0 }, { 2, 300 }, { 3, 600 } }, -1, true, false },
        { "the same endpoint three times", { { 1, 0 }, { 1, 300 }, { 1, 600 } }, -1, false, true },
        { "three at one moment, as in the loss of a zone", { { 1, 0 }, { 2, 50 }, { 3, 100 } }, -1, false, false },
        { "three in a short time, each sent after the crash before", { { 1, 0, 40 }, { 2, 50, 40 }, { 3, 100, 40 } }, -1, true, false },
        { "three at one moment and one later", { { 1, 0 }, { 2, 50 }, { 3, 100 }, { 4, 900 } }, -1, true, false },
        { "answered shortly before", { { 1, 100 }, { 2, 300 }, { 3, 600 } }, 50, false, true },
        { "answered between", { { 1, 0 }, { 2, 300 }, { 3, 600 } }, 400, false, true },
        { "answered after", { { 1, 0 }, { 2, 300 }, { 3, 600 } }, 700, false, true },
    };
    for (const row& item : rows) {
        quarantine_state state;
        bool isAnswered = item.answeredAtMs < 0;
        for (const crash& crash : item.crashes) {
            if (!isAnswered && item.answeredAtMs < crash.ms) {
                recordAnswer(state, { bad }, at(item.answeredAtMs));
                isAnswered = true;
            }
            recordCrash(state, crashOf(crash.endpoint, crash.ms, { bad }, milliseconds(crash.exposureMs)), at(crash.ms));
        }
        if (!isAnswered)
            recordAnswer(state, { bad }, at(item.answeredAtMs));
        CHECK_EQUAL_TEXT(item.mayRetry, maySendElsewhere(state, { bad }, true, false, at(1000)), item.condition);
        CHECK_EQUAL_TEXT(item.isRefused, isRefused(state, 1000), item.condition);
        CHECK_FALSE_TEXT(isRefused(state, 1000, { { 8 } }), item.condition);
    }
}

TEST(RequestQuarantine, SoundFingerprintsOfTheSameRequestsAreNotRefused)
{
    const fingerprint first { 1 };
    quarantine_state state;
    recordAnswer(state, { first }, at(0));
    for (int endpoint = 0; endpoint < 5; ++endpoint)
        recordCrash(state, crashOf(endpoint, 1000 + endpoint * 300, { first, bad }), at(1000 + endpoint * 300));
    CHECK_TRUE(isRefused(state, 3000));
    CHECK_FALSE(isRefused(state, 3000, { first }));
}

TEST(RequestQuarantine, AFingerprintThatWasAnsweredLongAgoCanBeQuarantined)
{
    quarantine_state state;
    recordAnswer(state, { bad }, at(0));
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        recordCrash(state, crashOf(endpoint, 31000 + endpoint * 300), at(31000 + endpoint * 300));
    CHECK_TRUE(isRefused(state, 32000));
}

TEST(RequestQuarantine, OneNodeTriesAFingerprintLessAndLessOften)
{
    quarantine_state responsible = makeQuarantined();
    quarantine_state other = makeQuarantined();
    other.self = { "n2" };
    responsible.peers = { other.self };
    other.peers = { responsible.self };
    int trials[2] = { 0, 0 };
    constexpr int64_t hourMs = 3600000;
    for (int64_t ms = 1000; ms < hourMs; ms += 1000) {
        quarantine_state* const states[] = { &responsible, &other };
        for (int node = 0; node < 2; ++node)
            trials[node] += isRefused(*states[node], ms) ? 0 : 1;
        for (const outgoing_statement& item : responsible.outgoing)
            applyStatement(other, responsible.self, item.statement, at(ms));
        for (const outgoing_statement& item : other.outgoing)
            applyStatement(responsible, other.self, item.statement, at(ms));
        responsible.outgoing.clear();
        other.outgoing.clear();
    }
    CHECK_EQUAL(0, std::min(trials[0], trials[1]));
    CHECK_EQUAL(5, std::max(trials[0], trials[1]));
}

TEST(RequestQuarantine, ARequestIsRefusedUntilTheNextTrialAndATrialThatIsAnsweredReleasesTheFingerprint)
{
    quarantine_state state = makeQuarantined();
    const quarantine_verdict verdict = judgeRequest(state, { bad }, at(10400));
    CHECK_TRUE(verdict.refusedFor == firstTrialInterval - milliseconds(10000));
    CHECK_TRUE(judgeRequest(state, { bad }, at(61000)).isTrial);
    CHECK_TRUE(isRefused(state, 61001));
    CHECK_TRUE(maySendElsewhere(state, { bad }, false, true, at(1000)));
    CHECK_FALSE(maySendElsewhere(state, { bad }, true, true, at(1000)));
    recordAnswer(state, { bad }, at(61100));
    CHECK_FALSE(isRefused(state, 61200));
    CHECK_TRUE(state.outgoing.back().statement.kind == statement_kind::Sound);
}

TEST(RequestQuarantine, FingerprintsThatComeTogetherAreTriedTogether)
{
    quarantine_state state;
    state.self = { "n1" };
    const std::vector<fingerprint> both { { 3 }, { 4 } };
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        recordCrash(state, crashOf(endpoint, endpoint * 200, both), at(400));
    CHECK_TRUE(judgeRequest(state, both, at(61000)).isTrial);
    CHECK_TRUE(isRefused(state, 62000, both));
}

TEST(RequestQuarantine, AFingerprintIsTriedSoonIfAnotherPartExplainsAllItsCrashes)
{
    const fingerprint first { 1 };
    struct row {
        const char* condition;
        std::vector<fingerprint> lastCrash;
        std::vector<fingerprint> request;
        bool isTried;
    };
    const row rows[] = {
        { "both came together, the request has one", { first, bad }, { first }, true },
        { "both came together, the request has both", { first, bad }, { first, bad }, false },
        { "a crash without the other subject", { first }, { first }, false },
    };
    for (const row& item : rows) {
        quarantine_state state;
        for (int endpoint = 0; endpoint < 3; ++endpoint)
            recordCrash(state, crashOf(endpoint, endpoint * 200, { first, bad }), at(400));
        recordCrash(state, crashOf(3, 600, item.lastCrash), at(600));
        CHECK_EQUAL_TEXT(item.isTried, judgeRequest(state, item.request, at(1000)).isTrial, item.condition);
        CHECK_TRUE_TEXT(isRefused(state, 1001, item.request), item.condition);
        recordCrash(state, crashOf(4, 1100, item.request), at(1200));
        CHECK_TRUE_TEXT(isRefused(state, 7000, item.request), item.condition);
    }
}

TEST(RequestQuarantine, ANodeThatKnowsAnAnswerObjectsAndTheReporterWithdraws)
{
    quarantine_state reporter = makeQuarantined();
    reporter.outgoing.clear();
    quarantine_state witness;
    recordAnswer(witness, { bad }, at(0));
    for (const statement_kind kind : { statement_kind::Crash, statement_kind::Quarantined }) {
        witness.outgoing.clear();
        applyStatement(witness, { "n1" }, { kind, bad, { { "e1" }, { 1 } } }, at(500));
        CHECK_EQUAL(1U, witness.outgoing.size());
        CHECK_TRUE(witness.outgoing[0].receiver == Common::node_id { "n1" });
        CHECK_FALSE(isRefused(witness, 600));
    }
    applyStatement(reporter, { "n2" }, witness.outgoing[0].statement, at(700));
    CHECK_FALSE(isRefused(reporter, 800));
    CHECK_EQUAL(1U, reporter.outgoing.size());
    CHECK_FALSE(reporter.outgoing[0].receiver.has_value());
    applyStatement(reporter, { "n2" }, witness.outgoing[0].statement, at(900));
    CHECK_EQUAL(1U, reporter.outgoing.size());
}

TEST(RequestQuarantine, ANodeThatStartedLaterLearnsWhatIsQuarantined)
{
    quarantine_state known = makeQuarantined();
    known.outgoing.clear();
    refresh(known, at(3000));
    CHECK_EQUAL(1U, known.outgoing.size());
    quarantine_state started;
    started.self = { "n2" };
    applyStatement(started, known.self, known.outgoing[0].statement, at(3000));
    CHECK_TRUE(isRefused(started, 3001));
}

TEST(RequestQuarantine, MemoryIsBoundedAndFingerprintsAreForgotten)
{
    quarantine_state state = makeQuarantined();
    for (uint64_t number = 0; number < 20000; ++number) {
        recordCrash(state, crashOf(1, 1000, { { 1000 + number } }), at(1000));
        recordAnswer(state, { { 100000 + number } }, at(1000));
    }
    CHECK_EQUAL(maxSuspects, state.suspects.size());
    CHECK_TRUE(state.sound.answeredAt.size() <= maxSoundEntries && state.sound.order.size() <= maxSoundEntries);
    CHECK_TRUE(isRefused(state, 2000));
    refresh(state, at(2000 + suspectRetention.count() + 1));
    CHECK_EQUAL(0U, state.suspects.size());
    CHECK_EQUAL(0U, state.sound.answeredAt.size() + state.sound.order.size());
}
