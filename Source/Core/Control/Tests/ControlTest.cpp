/// @file
/// Usage reports, intervals of store calls, true time and rollouts of the control duty.

#include "Control/CountRelay.h"
#include "Control/RolloutTracker.h"
#include "Control/StoreCallIntervals.h"
#include "Control/TrueTime.h"
#include "Control/UsageReporter.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Control;

Common::instant at(int64_t ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

constexpr int64_t windowMs = 5000;

Store::rows_answer makeAnswer(Store::call_outcome outcome, std::vector<Store::row> rows = {})
{
    Store::rows_answer answer;
    answer.outcome = outcome;
    answer.rows = std::move(rows);
    return answer;
}

Store::row makeCounts(Usage::window_number window, const char* node, uint64_t count)
{
    return { countRow(window, { node }, { 1 }), Usage::encodeCounts({ { { "clerks" }, count } }), { 1 }, false };
}

template <typename step_type>
step_type expectStep(usage_reporter& reporter, int64_t trueMs)
{
    const auto step = nextStep(reporter, { trueMs }, at(trueMs));
    CHECK(step.has_value());
    CHECK(std::holds_alternative<step_type>(*step));
    return std::get<step_type>(*step);
}

} // namespace

TEST_GROUP(UsageReporter) {};

TEST(UsageReporter, CountsOfAllNodesAreWrittenBeforeTheyAreSent)
{
    usage_reporter reporter;
    reporter.newestAdded = Usage::window_number { 99 };
    const int64_t now = 101 * windowMs + 2700;
    const auto read = expectStep<read_counts>(reporter, now);
    CHECK_EQUAL(100, read.window.value);
    handleCounts(reporter, read.window, makeAnswer(Store::call_outcome::Done, { makeCounts(read.window, "a", 3), makeCounts(read.window, "b", 4) }), at(now));
    const auto record = expectStep<record_report>(reporter, now);
    CHECK_EQUAL(0, record.transaction.conditions.front().version.value);
    handleRecorded(reporter, record.window, makeAnswer(Store::call_outcome::Done), at(now));
    const auto send = expectStep<send_report>(reporter, now);
    CHECK_EQUAL(7, send.counts.at({ "clerks" }));
    handleSent(reporter, send.window, true, at(now));
    CHECK(!nextStep(reporter, { now }, at(now)).has_value());
}

TEST(UsageReporter, ARestartedNodeDoesNotOverwriteItsEarlierCounts)
{
    const Usage::window_number window { 100 };
    CHECK(countRow(window, { "a" }, { 1 }) != countRow(window, { "a" }, { 2 }));
    usage_reporter reporter;
    reporter.newestAdded = Usage::window_number { 99 };
    const auto read = expectStep<read_counts>(reporter, 101 * windowMs + 2700);
    for (const uint64_t incarnation : { 1U, 2U }) {
        const std::string key = countRow(window, { "a" }, { incarnation }).key;
        CHECK(key >= read.rows.from);
        CHECK(key < read.rows.to);
    }
}

TEST(UsageReporter, TheReportOfAPreviousHolderIsSent)
{
    usage_reporter reporter;
    reporter.newestAdded = Usage::window_number { 99 };
    const int64_t now = 101 * windowMs + 2700;
    const auto read = expectStep<read_counts>(reporter, now);
    handleCounts(reporter, read.window, makeAnswer(Store::call_outcome::Done, { makeCounts(read.window, "a", 3) }), at(now));
    const auto record = expectStep<record_report>(reporter, now);
    const Store::row earlier { record.transaction.writes.front().name, Usage::encodeCounts({ { { "clerks" }, 5 } }), { 8 }, false };
    handleRecorded(reporter, record.window, makeAnswer(Store::call_outcome::ConditionFailed, { earlier }), at(now));
    CHECK_EQUAL(5, expectStep<send_report>(reporter, now).counts.at({ "clerks" }));
}

namespace {

constexpr int64_t endOfWindow100Ms = 101 * windowMs;

/// Plays the report of window 100 up to the given stage.
usage_reporter makeReporterAt(report_stage stage, bool isSent)
{
    usage_reporter reporter;
    reporter.newestAdded = Usage::window_number { 99 };
    const int64_t now = endOfWindow100Ms + 2700;
    const auto read = expectStep<read_counts>(reporter, now);
    if (stage == report_stage::Collect)
        return reporter;
    handleCounts(reporter, read.window, makeAnswer(Store::call_outcome::Done, { makeCounts(read.window, "a", 3) }), at(now));
    const auto record = expectStep<record_report>(reporter, now);
    if (stage == report_stage::Record)
        return reporter;
    handleRecorded(reporter, record.window, makeAnswer(Store::call_outcome::Done), at(now));
    if (isSent)
        handleSent(reporter, expectStep<send_report>(reporter, now).window, true, at(now));
    return reporter;
}

} // namespace

TEST(UsageReporter, AReportLostByTheStoreIsWrittenAgainAndNeverReportedOtherwise)
{
    for (const bool isSent : { true, false }) {
        for (const bool isNewTenure : { true, false }) {
            usage_reporter reporter = makeReporterAt(report_stage::Send, isSent);
            const int64_t now = endOfWindow100Ms + 3000;
            beginEra(reporter, { now }, at(now));
            if (isNewTenure)
                resetReporter(reporter);
            const auto record = isNewTenure ? expectStep<find_report>(reporter, now).window : Usage::window_number {};
            if (isNewTenure) // The window before, of which this node knows nothing.
                CHECK(handleFound(reporter, record, makeAnswer(Store::call_outcome::Done), at(now)));
            const auto again = expectStep<record_report>(reporter, now);
            CHECK_EQUAL(100, again.window.value);
            STRCMP_EQUAL(R"({"clerks":3})", again.transaction.writes.front().value.c_str());
            handleRecorded(reporter, again.window, makeAnswer(Store::call_outcome::Done), at(now));
            if (isSent)
                CHECK(!nextStep(reporter, { now }, at(now)).has_value());
            else
                CHECK_EQUAL(3, expectStep<send_report>(reporter, now).counts.at({ "clerks" }));
        }
    }
}

TEST(UsageReporter, AWindowThatMayHaveBeenSentBeforeIsReportedOnlyAsTheStoreHoldsIt)
{
    struct row {
        const char* stage;
        report_stage atRise;
        bool isStored;
    };
    const row rows[] = {
        { "counts being read, report in the store", report_stage::Collect, true },
        { "counts being read, no report in the store", report_stage::Collect, false },
        { "report being written, report in the store", report_stage::Record, true },
        { "report being written, no report in the store", report_stage::Record, false },
    };
    for (const row& item : rows) {
        usage_reporter reporter = makeReporterAt(item.atRise, false);
        const int64_t now = endOfWindow100Ms + 3000;
        beginEra(reporter, { now }, at(now));
        // The pending step ends with an answer of the new era.
        handleCounts(reporter, { 100 }, makeAnswer(Store::call_outcome::Done), at(now));
        handleRecorded(reporter, { 100 }, makeAnswer(Store::call_outcome::Done), at(now));
        const auto search = expectStep<find_report>(reporter, now);
        std::vector<Store::row> found;
        if (item.isStored)
            found.push_back({ { "usage_reports", "", search.rows.from }, R"({"clerks":8})", { 8 }, false });
        CHECK_EQUAL_TEXT(!item.isStored, handleFound(reporter, search.window, makeAnswer(Store::call_outcome::Done, found), at(now)), item.stage);
        if (item.isStored)
            CHECK_EQUAL_TEXT(8, expectStep<send_report>(reporter, now).counts.at({ "clerks" }), item.stage);
        else
            CHECK_TEXT(!nextStep(reporter, { now }, at(now)).has_value(), item.stage);
    }
}

TEST(UsageReporter, AWindowThatEndsAroundANewEraIsCollectedWhenTheCountsAreWrittenAgain)
{
    usage_reporter reporter;
    reporter.newestAdded = Usage::window_number { 99 };
    const int64_t rise = endOfWindow100Ms + 1000;
    beginEra(reporter, { rise }, at(rise));
    CHECK(!nextStep(reporter, { rise + 1700 }, at(rise + 1700)).has_value());
    CHECK_EQUAL(100, expectStep<read_counts>(reporter, rise + 2600).window.value);
}

TEST(UsageReporter, AStoredReportOtherThanTheKnownOneIsNotSent)
{
    usage_reporter reporter = makeReporterAt(report_stage::Send, false);
    const int64_t now = endOfWindow100Ms + 3000;
    beginEra(reporter, { now }, at(now));
    const auto record = expectStep<record_report>(reporter, now);
    const Store::row other { record.transaction.writes.front().name, R"({"clerks":4})", { 8 }, false };
    CHECK(handleRecorded(reporter, record.window, makeAnswer(Store::call_outcome::ConditionFailed, { other }), at(now)));
    CHECK(!nextStep(reporter, { now }, at(now)).has_value());
}

TEST(UsageReporter, AFailedStepIsRetriedWhileInTime)
{
    const Store::call_outcome outcomes[] = { Store::call_outcome::Refused, Store::call_outcome::Unknown };
    for (const auto outcome : outcomes) {
        usage_reporter reporter;
        reporter.newestAdded = Usage::window_number { 99 };
        int64_t now = 101 * windowMs + 2700;
        const auto read = expectStep<read_counts>(reporter, now);
        handleCounts(reporter, read.window, makeAnswer(outcome), at(now));
        CHECK(!nextStep(reporter, { now }, at(now)).has_value());
        now += 500;
        CHECK_EQUAL(100, expectStep<read_counts>(reporter, now).window.value);
        handleCounts(reporter, read.window, makeAnswer(outcome), at(now));
        // The report would be late: its window is dropped, and the next windows are reported.
        now = 101 * windowMs + 10000;
        CHECK(expectStep<read_counts>(reporter, now).window.value > 100);
    }
}

TEST(UsageReporter, NoTransactionExceedsTheEntryLimitOfTheStore)
{
    // Many nodes restart within a window, and each process writes its own row: there are more obsolete rows than the
    // store accepts in one transaction.
    constexpr size_t maxEntries = 100;
    constexpr int rowsPerWindow = 250;
    usage_reporter reporter;
    reporter.newestAdded = Usage::window_number { 99 };
    size_t removed = 0;
    for (int64_t now = 101 * windowMs + 2700; now < 140 * windowMs; now += 100) {
        const auto step = nextStep(reporter, { now }, at(now));
        if (!step)
            continue;
        if (const auto* read = std::get_if<read_counts>(&*step)) {
            std::vector<Store::row> rows;
            for (int node = 0; node < rowsPerWindow; ++node)
                rows.push_back(makeCounts(read->window, std::to_string(node).c_str(), 1));
            handleCounts(reporter, read->window, makeAnswer(Store::call_outcome::Done, rows), at(now));
        } else if (const auto* record = std::get_if<record_report>(&*step)) {
            CHECK(record->transaction.conditions.size() + record->transaction.writes.size() + record->transaction.removals.size() <= maxEntries);
            removed += record->transaction.removals.size();
            handleRecorded(reporter, record->window, makeAnswer(Store::call_outcome::Done), at(now));
        } else if (const auto* removal = std::get_if<remove_rows>(&*step)) {
            CHECK(removal->transaction.removals.size() <= maxEntries);
            removed += removal->transaction.removals.size();
            handleRemoved(reporter, *removal, makeAnswer(Store::call_outcome::Done));
        } else {
            handleSent(reporter, std::get<send_report>(*step).window, true, at(now));
        }
    }
    CHECK(reporter.obsolete.size() < rowsPerWindow);
    CHECK(removed >= 36 * rowsPerWindow);
}

TEST(UsageReporter, UnreadableCountsAreRejected)
{
    for (const char* text : { "", "[1]", "{\"a\":-1}", "{\"a\":\"x\"}" })
        CHECK(!Usage::decodeCounts(text).has_value());
}

TEST_GROUP(CountRelay) {};

TEST(CountRelay, CountsOfAZoneAreWrittenTogetherWithinTheEntryLimit)
{
    constexpr size_t maxEntries = 100;
    struct row {
        size_t nodes;
        size_t rowsPerNode;
        size_t transactions;
    };
    const row rows[] = { { 1, 1, 1 }, { 49, 1, 1 }, { 49, 2, 2 }, { 200, 1, 3 }, { 1, 95, 1 } };
    for (const row& item : rows) {
        count_relay relay;
        for (size_t number = 0; number < item.nodes; ++number) {
            relayed_counts counts { { 7 }, {} };
            for (size_t added = 0; added < item.rowsPerNode; ++added)
                counts.rows.push_back({ countRow({ static_cast<int64_t>(added) }, { "n" + std::to_string(number) }, { 1 }), "{}" });
            addCounts(relay, { "n" + std::to_string(number) }, counts, at(0));
        }
        CHECK(!takeBatch(relay, at(100)).has_value());
        size_t transactions = 0;
        size_t confirmed = 0;
        size_t written = 0;
        while (const auto batch = takeBatch(relay, at(1000))) {
            CHECK(!takeBatch(relay, at(1000)).has_value());
            CHECK(batch->write.writes.size() <= maxEntries);
            ++transactions;
            confirmed += batch->senders.size();
            written += batch->write.writes.size();
            relay.isWriting = false;
        }
        CHECK_EQUAL(item.transactions, transactions);
        CHECK_EQUAL(item.nodes, confirmed);
        CHECK_EQUAL(item.nodes * item.rowsPerNode, written);
    }
}

TEST(CountRelay, OnlyTheConfirmationOfTheLastMessageCounts)
{
    struct row {
        uint64_t confirmed;
        bool isWritten;
    };
    const row rows[] = { { 2, false }, { 3, true }, { 4, false } };
    for (const row& item : rows) {
        count_sender sender;
        sender.last = { 3 };
        sender.sent = unconfirmed_counts { { 3 }, at(0), { { { 5 }, { { { "clerks" }, 1 } } } } };
        CHECK_EQUAL(item.isWritten, !confirm(sender, { item.confirmed }).empty());
        CHECK_EQUAL(item.isWritten, !sender.sent.has_value());
    }
}

TEST(CountRelay, ANodeWhoseRelayIsSilentWritesItsFinalCountsInTime)
{
    // The report of a window is put together 2.6 s after its end; the final counts are sent 0.4 s after it.
    constexpr int64_t sentAt = 400;
    constexpr int64_t settleTime = 2600;
    count_sender sender;
    sender.sent = unconfirmed_counts { { 1 }, at(sentAt), {} };
    int64_t now = sentAt;
    while (sender.sent) {
        now += 50;
        expireUnconfirmed(sender, at(now));
    }
    CHECK(now + 300 < settleTime);
    CHECK(sender.directUntil > at(now));
}

TEST_GROUP(StoreCallIntervals) {};

TEST(StoreCallIntervals, CallsOfAllNodesStayBelowAQuarterOfTheRateLimits)
{
    // Rate limits of the store in the larger deployments.
    constexpr double readsPerSecond = 6000;
    constexpr double writesPerSecond = 1200;
    Fleet::service_bounds bounds;
    bounds.drain = milliseconds(4000);
    bounds.configuration = milliseconds(4000);
    bounds.usageWindow = milliseconds(5000);
    const auto perSecond = [](size_t nodes, milliseconds interval) { return static_cast<double>(nodes) * 1000 / static_cast<double>(interval.count()); };
    double before = 0;
    for (const size_t nodes : { 3, 7, 20, 82, 200, 400 }) {
        const store_call_intervals intervals = callIntervalsFor(nodes, bounds);
        // Worst case: no node hears a relay, so that all query the store themselves.
        double reads = 0;
        for (const read_intervals& table : { intervals.catalog, intervals.endpoints, intervals.nodes, intervals.statuses })
            reads += perSecond(nodes, table.maxAge);
        for (size_t rank = 0; rank < nodes; ++rank)
            reads += perSecond(1, leaseWatchInterval(rank));
        const double writes = perSecond(nodes, bounds.usageWindow) + (intervals.countInterval < bounds.usageWindow ? perSecond(nodes, intervals.countInterval) : 0);
        // Operator's table, endpoints, nodes, rollouts.
        constexpr double tables = 4;
        CHECK(reads < readsPerSecond / 4);
        CHECK(tables * perSecond(nodes, intervals.maxRetryDelay) < readsPerSecond / 4);
        CHECK(writes < writesPerSecond / 4);
        // Calls per node don't increase with the number of nodes.
        constexpr double rounding = 1e-9;
        CHECK(before == 0 || reads / static_cast<double>(nodes) <= before + rounding);
        before = reads / static_cast<double>(nodes);
    }
}

TEST(StoreCallIntervals, ANodeWhoseRelayFailsMeetsTheBoundsOfItsFleet)
{
    struct row {
        int drainMs;
        int configurationMs;
    };
    const row rows[] = { { 3000, 3000 }, { 4000, 4000 }, { 5000, 5000 }, { 2000, 3000 } };
    // A query that is lost once, and the next one.
    constexpr milliseconds queryTime { 100 };
    for (const row& item : rows) {
        Fleet::service_bounds bounds;
        bounds.drain = milliseconds(item.drainMs);
        bounds.configuration = milliseconds(item.configurationMs);
        const store_call_intervals intervals = callIntervalsFor(82, bounds);
        CHECK(intervals.endpoints.maxAge + queryTime < bounds.drain * 3 / 4);
        CHECK(intervals.catalog.maxAge + queryTime < bounds.configuration * 3 / 4);
        // A relay that works confirms its copies before the other nodes' confirmations are too old.
        constexpr milliseconds announcementInterval { 400 };
        if (item.drainMs >= 3000)
            CHECK(intervals.endpoints.maxWait + intervals.endpoints.pause + announcementInterval + queryTime < intervals.endpoints.maxAge);
    }
}

TEST(StoreCallIntervals, TheLeaseIsReadOftenByTwoNodesAndByAllAtDifferentTimes)
{
    double perSecond = 0;
    for (size_t rank = 0; rank < 395; ++rank) {
        perSecond += 1000.0 / static_cast<double>(leaseWatchInterval(rank).count());
        CHECK(rank < 2 || leaseWatchInterval(rank) < leaseWatchInterval(rank + 1));
    }
    CHECK(perSecond < 4);
    // If the holder and both of them fail together.
    CHECK(leaseWatchInterval(2) <= milliseconds(6000));
}

TEST_GROUP(TrueTime) {};

TEST(TrueTime, TheMedianIgnoresANodeWhoseWallClockJumped)
{
    struct row {
        std::vector<int64_t> offsets;
        int64_t median;
    };
    const row rows[] = {
        { { 1000 }, 1000 },
        { { 1000, 1002, -2400 }, 1000 },
        { { 3400, 1000, 1001, 999, 3400 }, 1001 },
    };
    for (const row& item : rows)
        CHECK_EQUAL(item.median, *medianOffset(item.offsets));
    CHECK(!medianOffset({}).has_value());
    CHECK_EQUAL(1750, trueTimeAt({ { 500 }, at(0) }, 1000, at(250)).value);
}

TEST_GROUP(RolloutTracker) {};

namespace {

constexpr int64_t orderMs = 12000;

struct simulated_rollout {
    rollout_tracker tracker { makeRolloutTracker(0.1, 50) };
    uint32_t share { 0 };
    uint64_t newVersionRequests { 0 };
    uint64_t totalRequests { 0 };
    uint64_t attempts { 0 };
    double shareRemainder { 0 };

    void apply(const rollout_actions& actions)
    {
        for (const Rollout::rollout_action& action : actions) {
            if (const auto* shares = std::get_if<Rollout::publish_shares>(&action)) {
                for (const auto& [version, thousandths] : shares->shares)
                    share = thousandths;
            }
            if (const auto* end = std::get_if<Rollout::propose_end>(&action))
                recordProposal(tracker, *end);
        }
    }

    void order()
    {
        const std::map<std::string, Store::row> rows { { "rollout/s", { { "op", "", "rollout/s" }, "", { 5 }, false } } };
        apply(applyOrders(tracker, { { { "s" }, { "v2" }, milliseconds(orderMs) } }, rows, at(0)));
    }

    void observe(const char* version, bool isGood, int64_t now)
    {
        using event = Gateway::attempt_report::event;
        constexpr double latencyMs = 100;
        ++attempts;
        const std::vector<event> events = isGood ? std::vector<event> { event::Begun, event::FirstEvent, event::OnTime } : std::vector<event> { event::Begun, event::Failed };
        for (const event type : events)
            apply(evaluate(tracker, toObservedAttempt({ { "s" }, { version }, { "r" }, type, { attempts }, latencyMs, latencyMs }), at(now)));
    }

    /// @param badFrom time from which the new version fails, in milliseconds.
    void simulate(int64_t badFrom)
    {
        constexpr int64_t requestIntervalMs = 20;
        order();
        for (int64_t now = 0; now < orderMs; now += requestIntervalMs) {
            if (now % 200 == 0)
                apply(evaluate(tracker, Rollout::rollout_tick {}, at(now)));
            ++totalRequests;
            shareRemainder += share / 1000.0;
            const bool isNewVersion = shareRemainder >= 1;
            if (isNewVersion) {
                shareRemainder -= 1;
                ++newVersionRequests;
            }
            observe(isNewVersion ? "v2" : "v1", !isNewVersion || now < badFrom || now % 40 == 0, now);
        }
    }

    std::optional<rollout_status> proposed() const { return tracker.rollouts.begin()->second.proposed; }
};

} // namespace

TEST(RolloutTracker, GoodVersionsTakeOverAndBadOnesAreRevertedWithinTheExposureShare)
{
    struct row {
        int64_t badFrom;
        rollout_status end;
    };
    const row rows[] = {
        { orderMs, rollout_status::Completed },
        { 0, rollout_status::Reverted },
        { 3000, rollout_status::Reverted },
        { 6000, rollout_status::Reverted },
    };
    for (const row& item : rows) {
        simulated_rollout simulation;
        simulation.simulate(item.badFrom);
        CHECK(simulation.proposed() == item.end);
        if (item.end == rollout_status::Completed) {
            CHECK_EQUAL(1000, simulation.share);
            continue;
        }
        CHECK_EQUAL(0, simulation.share);
        CHECK(simulation.newVersionRequests <= 0.1 * static_cast<double>(simulation.totalRequests) + 50);
    }
}

TEST(RolloutTracker, EachStatusIsReportedOnce)
{
    simulated_rollout simulation;
    simulation.order();
    auto report = nextReport(simulation.tracker);
    CHECK(report->proposed == rollout_status::InProgress);
    CHECK(!nextReport(simulation.tracker).has_value());
    simulation.tracker.rollouts.begin()->second.isReporting = false;
    applyReportedStatus(simulation.tracker, { "s" }, rollout_status::InProgress, at(10));
    CHECK(!nextReport(simulation.tracker).has_value());
    simulation.tracker.rollouts.begin()->second.proposed = rollout_status::Reverted;
    CHECK(nextReport(simulation.tracker)->proposed == rollout_status::Reverted);
    simulation.apply(applyReportedStatus(simulation.tracker, { "s" }, rollout_status::Reverted, at(20)));
    CHECK_EQUAL(0, simulation.share);
    CHECK(!isActive(simulation.tracker));
}

namespace {

rollout_actions showOrder(rollout_tracker& tracker, const char* to, uint64_t version, int64_t now)
{
    const std::map<std::string, Store::row> rows { { "rollout/s", { { "op", "", "rollout/s" }, "", { version }, false } } };
    return applyOrders(tracker, { { { "s" }, { to }, milliseconds(orderMs) } }, rows, at(now));
}

} // namespace

TEST(RolloutTracker, AnOrderWrittenAgainInANewEraDoesNotBeginAnew)
{
    struct row {
        const char* shown;
        const char* to;
        uint64_t version;
        bool isNew;
    };
    const row rows[] = {
        { "the row of before", "v3", 90, false },
        { "written again", "v3", 85, false },
        { "the order that it replaced, in the restored copy", "v2", 80, false },
        { "a new order for the version before", "v2", 85, true },
        { "a new order", "v4", 90, true },
    };
    for (const row& item : rows) {
        rollout_tracker tracker = makeRolloutTracker(0.1, 50);
        showOrder(tracker, "v2", 80, 0);
        showOrder(tracker, "v3", 90, 100);
        beginEra(tracker);
        showOrder(tracker, item.to, item.version, 5000);
        const tracked_rollout& rollout = tracker.rollouts.begin()->second;
        CHECK_EQUAL_TEXT(item.isNew, rollout.seenAt == at(5000), item.shown);
        CHECK_EQUAL_TEXT(item.isNew ? item.to : std::string("v3"), rollout.order.to.value, item.shown);
        // Once seen in the new era, a further version of the row is a new order.
        showOrder(tracker, "v3", 95, 6000);
        const bool wasSeen = item.isNew || std::string(item.to) == "v3";
        CHECK_EQUAL_TEXT(wasSeen, tracker.rollouts.begin()->second.seenAt == at(6000), item.shown);
    }
}

TEST(RolloutTracker, AStatusLostByTheStoreIsReportedAgainOnceAndNeverGoesBack)
{
    for (const rollout_status status : { rollout_status::InProgress, rollout_status::Completed, rollout_status::Reverted }) {
        rollout_tracker tracker = makeRolloutTracker(0.1, 50);
        showOrder(tracker, "v2", 80, 0);
        applyReportedStatus(tracker, { "s" }, status, at(0));
        CHECK(!nextReport(tracker).has_value());
        beginEra(tracker);
        if (status != rollout_status::InProgress) {
            applyReportedStatus(tracker, { "s" }, rollout_status::InProgress, at(100));
            CHECK(!isActive(tracker));
        }
        const auto report = nextReport(tracker);
        CHECK(report.has_value());
        CHECK(report->proposed == status);
        CHECK(!nextReport(tracker).has_value());
        recordReported(tracker, *report, true, at(200));
        CHECK(!nextReport(tracker).has_value());
    }
}

TEST(RolloutTracker, ALatchOfAnotherNodeApplies)
{
    simulated_rollout simulation;
    simulation.order();
    CHECK(simulation.share > 0);
    simulation.apply(evaluate(simulation.tracker, Rollout::peer_latch { { "s", { "v2" } }, "failing" }, at(100)));
    CHECK_EQUAL(0, simulation.share);
}

TEST(RolloutTracker, ALatchFromANodeThatHasNotSeenTheEndIsIgnoredOnceTheVersionIsCurrent)
{
    // At the end of a rollout the previous version's endpoints stop. A node that reads the status later still compares the
    // versions, and failures of that moment can make it latch the new one. All other endpoints are gone by then.
    struct row {
        const char* condition;
        std::optional<rollout_status> reported;
        bool latches;
    };
    const row rows[] = {
        { "in progress", std::nullopt, true },
        { "completed", rollout_status::Completed, false },
    };
    for (const row& item : rows) {
        simulated_rollout simulation;
        simulation.order();
        if (item.reported)
            simulation.apply(applyReportedStatus(simulation.tracker, { "s" }, *item.reported, at(100)));
        const rollout_actions actions = evaluate(simulation.tracker, Rollout::peer_latch { { "s", { "v2" } }, "failing" }, at(200));
        bool publishesZero = false;
        for (const Rollout::rollout_action& action : actions) {
            const auto* shares = std::get_if<Rollout::publish_shares>(&action);
            publishesZero = publishesZero || (shares && shares->shares.contains({ "v2" }) && shares->shares.at({ "v2" }) == 0);
        }
        CHECK_EQUAL_TEXT(item.latches, publishesZero, item.condition);
    }
}

// Guards against rollouts that are judged, or taken back, when nothing is left to compare with and to go back to.
TEST(RolloutTracker, AnEndIsReportedOnlyIfItsVersionIsThereToServe)
{
    constexpr int64_t playMs = 20000;
    constexpr int64_t never = playMs + 1;
    struct listing {
        int64_t at; ///< Milliseconds since the order.
        std::set<Common::version_name> ready;
    };
    struct row {
        const char* condition;
        std::vector<listing> listings;
        int64_t failsFrom; ///< When the new version begins to fail.
        int64_t latchedAt; ///< When a peer finds it bad.
        std::optional<rollout_status> end;
    };
    const Common::version_name oldVersion { "v1" };
    const Common::version_name newVersion { "v2" };
    const std::vector<listing> both { { 0, { oldVersion, newVersion } } };
    const std::vector<listing> oldGoes { { 0, { oldVersion, newVersion } }, { 6000, { newVersion } } };
    const std::vector<listing> oldIsAway { { 0, { oldVersion, newVersion } }, { 6000, { newVersion } }, { 13000, { oldVersion, newVersion } } };
    const std::vector<listing> oldIsAwayAtTheLimit { { 0, { oldVersion, newVersion } }, { 10500, { newVersion } }, { 13000, { oldVersion, newVersion } } };
    const row rows[] = {
        { "both, a good one", both, never, never, rollout_status::Completed },
        { "both, a bad one", both, 0, never, rollout_status::Reverted },
        { "the new one alone", { { 0, { newVersion } } }, never, never, rollout_status::Completed },
        { "the new one alone, failing", { { 0, { newVersion } } }, 0, never, rollout_status::Completed },
        { "the old one alone", { { 0, { oldVersion } } }, never, never, rollout_status::Reverted },
        { "none", { { 0, {} } }, never, never, {} },
        { "the old one goes", oldGoes, never, never, rollout_status::Completed },
        { "fails once the old one is gone", oldGoes, 6000, never, rollout_status::Completed },
        { "found bad by a peer once the old one is gone", oldGoes, never, 7000, {} },
        { "found bad by a peer, and the old one comes back", oldIsAway, never, 7000, rollout_status::Reverted },
        { "the old one is away at the time limit", oldIsAwayAtTheLimit, never, 12000, rollout_status::Reverted },
        { "a good one whose endpoints go", { { 0, { oldVersion, newVersion } }, { 10000, { oldVersion } } }, never, never, {} },
        { "a bad one beside a third version", { { 0, { newVersion, { "v0" } } } }, 0, never, rollout_status::Reverted },
    };
    for (const row& item : rows) {
        simulated_rollout simulation;
        simulation.order();
        std::optional<rollout_status> reported;
        size_t nextListing = 0;
        for (int64_t now = 0; now < playMs && !reported; now += 20) {
            if (nextListing < item.listings.size() && item.listings[nextListing].at <= now)
                simulation.apply(evaluate(simulation.tracker, Rollout::ready_versions_changed { { { "s", item.listings[nextListing++].ready } } }, at(now)));
            if (now == item.latchedAt)
                simulation.apply(evaluate(simulation.tracker, Rollout::peer_latch { { "s", newVersion }, "failing" }, at(now)));
            const std::set<Common::version_name>& ready = item.listings[nextListing - 1].ready;
            if (now % 200 == 0)
                simulation.apply(evaluate(simulation.tracker, Rollout::rollout_tick {}, at(now)));
            const bool isToNew = ready.contains(newVersion) && (ready.size() == 1 || now % 1000 < simulation.share);
            if (!ready.empty())
                simulation.observe(isToNew ? "v2" : "v1", !isToNew || now < item.failsFrom, now);
            const auto report = nextReport(simulation.tracker);
            if (report && *report->proposed != rollout_status::InProgress)
                reported = report->proposed;
            else if (report)
                simulation.apply(recordReported(simulation.tracker, *report, true, at(now)));
        }
        CHECK_TEXT(reported == item.end, item.condition);
    }
}

namespace {

struct order_event {
    int64_t at; ///< Milliseconds since the first order.
    const char* to;
    std::optional<rollout_status> status {}; ///< The status that the node reads for the order before, right before this one.
    const char* gone { "" }; ///< A version whose endpoints are gone by then.
};

} // namespace

// Guards against an order that sends the traffic to a version which an earlier order was trying, or which was taken back (EXPOSURE).
TEST(RolloutTracker, AnOrderHoldsBackTheVersionsThatEarlierOnesLeft)
{
    using shares = std::map<Common::version_name, uint32_t>;
    struct row {
        const char* condition;
        std::vector<order_event> orders;
        std::set<Common::version_name> heldBack; ///< After the last order.
        const char* current; ///< Version that gets all others; empty: there is a trial.
        bool endsCompleted; ///< Whether the last order is reported as completed at its time limit without any attempt.
    };
    const row rows[] = {
        { "a first order", { { 0, "v2" } }, {}, "", false },
        { "back in the trial", { { 0, "v2" }, { 2500, "v1" } }, { { "v2" } }, "v1", true },
        { "back after it was taken back", { { 0, "v2" }, { 2500, "v1", rollout_status::Reverted } }, { { "v2" } }, "v1", true },
        { "a third one in the trial", { { 0, "v2" }, { 2500, "v3" } }, { { "v2" } }, "", false },
        { "a third one after it was taken back", { { 0, "v2" }, { 2500, "v3", rollout_status::Reverted } }, { { "v2" } }, "", false },
        { "a third one, then back", { { 0, "v2" }, { 2500, "v3" }, { 4000, "v1" } }, { { "v2" }, { "v3" } }, "v1", true },
        { "back, then to a third one", { { 0, "v2" }, { 2500, "v1" }, { 4000, "v3" } }, { { "v2" } }, "", false },
        { "back, then the bad one once more", { { 0, "v2" }, { 2500, "v1" }, { 4000, "v2" } }, {}, "", false },
        { "the same order once more", { { 0, "v2" }, { 2500, "v2" } }, {}, "", false },
        { "the next one after a completed that was missed", { { 0, "v2" }, { 13000, "v3", {}, "v1" } }, {}, "", false },
        { "the next one after reverted, the first one gone", { { 0, "v2" }, { 13000, "v3", rollout_status::Reverted, "v1" } }, { { "v2" } }, "", false },
        { "the next one after completed", { { 0, "v2" }, { 13000, "v3", rollout_status::Completed } }, {}, "", false },
        { "the version before as a new one after completed", { { 0, "v2" }, { 13000, "v1", rollout_status::Completed } }, {}, "", false },
    };
    for (const row& item : rows) {
        rollout_tracker tracker = makeRolloutTracker(0.1, 50);
        std::optional<Rollout::publish_shares> published;
        const auto apply = [&published](const rollout_actions& actions) {
            for (const Rollout::rollout_action& action : actions) {
                if (const auto* update = std::get_if<Rollout::publish_shares>(&action))
                    published = *update;
            }
        };
        uint64_t version = 5;
        std::set<Common::version_name> ready { { "v1" } };
        for (const order_event& order : item.orders) {
            if (order.status)
                apply(applyReportedStatus(tracker, { "s" }, *order.status, at(order.at)));
            apply(showOrder(tracker, order.to, ++version, order.at));
            // The first listing comes after the first order, as at a node that has just started. A version's endpoints start when it is
            // ordered.
            ready.insert({ order.to });
            ready.erase({ order.gone });
            apply(evaluate(tracker, Rollout::ready_versions_changed { { { "s", ready } } }, at(order.at + 50)));
        }
        std::set<Common::version_name> heldBack;
        for (const auto& [name, share] : published ? published->shares : shares {}) {
            if (share == 0)
                heldBack.insert(name);
        }
        CHECK_TEXT(heldBack == item.heldBack, item.condition);
        STRCMP_EQUAL_TEXT(item.current, published ? published->current.value.c_str() : "", item.condition);
        const int64_t end = item.orders.back().at + orderMs;
        apply(evaluate(tracker, Rollout::rollout_tick {}, at(end)));
        const auto report = nextReport(tracker);
        CHECK_EQUAL_TEXT(item.endsCompleted, report && report->proposed == rollout_status::Completed, item.condition);
    }
}

// Guards against the end of one order that is taken for the end of the order which replaced it during the write.
TEST(RolloutTracker, AWriteThatEndsAfterItsOrderWasReplacedDoesNotEndTheNewOne)
{
    rollout_tracker tracker = makeRolloutTracker(0.1, 50);
    showOrder(tracker, "v2", 5, 0);
    tracker.rollouts.begin()->second.proposed = rollout_status::Reverted;
    const auto report = nextReport(tracker);
    CHECK(report.has_value());
    showOrder(tracker, "v3", 6, 100);
    recordReported(tracker, *report, true, at(110));
    CHECK(tracker.rollouts.begin()->second.reported != rollout_status::Reverted);
    CHECK(isActive(tracker));
}

TEST(RolloutTracker, NodesOfALargeFleetSendTheirEvidenceLessOften)
{
    struct row {
        size_t nodes;
        int maxMessagesPerSecond; ///< That one node receives from all others.
    };
    const row rows[] = { { 8, 30 }, { 82, 80 }, { 395, 280 } };
    for (const row& item : rows) {
        simulated_rollout simulation;
        simulation.order();
        simulation.apply(evaluate(simulation.tracker, Rollout::node_count_changed { item.nodes }, at(0)));
        simulation.observe("v2", true, 0);
        constexpr int seconds = 9;
        size_t sent = 0;
        for (int64_t now = 0; now < seconds * 1000; now += 200) {
            for (const Rollout::rollout_action& action : evaluate(simulation.tracker, Rollout::rollout_tick {}, at(now)))
                sent += std::holds_alternative<Rollout::broadcast_evidence>(action) ? 1 : 0;
        }
        CHECK(sent >= 5);
        CHECK(sent * item.nodes / seconds <= static_cast<size_t>(item.maxMessagesPerSecond));
    }
}

/// The store's time was taken from an answer that was on its way for seconds, so that copies counted as newer than they were.
TEST(TrueTime, AnAnswerThatTookLongDoesNotReplaceATighterReading)
{
    struct row {
        const char* name;
        int64_t storeMs;
        int64_t localMs;
        bool isTaken;
    };
    const row rows[] = {
        { "as quick", 11000, 1010, true },
        { "quicker", 11000, 1005, true },
        { "was on its way for eight seconds", 11000, 9010, false },
        { "some milliseconds slower", 11000, 1020, false },
        { "slower, but the known one is a minute old", 71000, 61200, true },
    };
    for (const row& item : rows) {
        const auto local = [](int64_t ms) { return Common::instant(std::chrono::hours(1)) + std::chrono::milliseconds(ms); };
        std::optional<Control::store_reading> known;
        Control::updateReading(known, { { 10000 }, local(10) });
        CHECK(known.has_value());
        Control::updateReading(known, { { item.storeMs }, local(item.localMs) });
        CHECK_EQUAL_TEXT(item.isTaken, known->storeNow.value == item.storeMs, item.name);
    }
}
