/// @file
/// How likely the crashes under a fingerprint are by chance.

#include "Quarantine/CrashChance.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Quarantine;

const Common::service_name service { "s" };

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

endpoint_start startOf(int number)
{
    return { { "e" + std::to_string(number) }, { 1 } };
}

} // namespace

TEST_GROUP(CrashChance) {};

TEST(CrashChance, LongRequestsAreAtCrashesByChanceAndShortOnesAreNot)
{
    struct row {
        const char* condition;
        int crashes; ///< Under the fingerprint.
        int exposureMs; ///< At each of them.
        int others; ///< Crashes of the same service in the last minute.
        int explained; ///< Of those, under quarantined requests.
        double atLeast;
        double atMost;
    };
    const row rows[] = {
        { "no other crash", 3, 60000, 0, 0, 0, 0 },
        { "short, few others", 3, 100, 6, 0, 0, 0.0001 },
        { "short, many others", 3, 400, 60, 0, 0.0001, 0.001 },
        { "ten seconds, many others", 3, 10000, 60, 0, 0.5, 1 },
        { "ten seconds, all others explained", 3, 10000, 60, 60, 0, 0 },
        { "a minute, one other", 3, 60000, 1, 0, 0.001, 0.01 },
        { "a minute, one other, more crashes", 5, 60000, 1, 0, 0, 0.001 },
    };
    for (const row& item : rows) {
        crash_history history;
        history.endpoints[service] = 10;
        crash_map crashes;
        for (int number = 0; number < item.crashes; ++number) {
            crashes[startOf(number)] = { at(0), milliseconds(item.exposureMs) };
            addKnownCrash(history, startOf(number), { service, at(0) });
        }
        for (int number = 0; number < item.others; ++number)
            addKnownCrash(history, startOf(100 + number), { service, at(0), number < item.explained });
        addKnownCrash(history, startOf(1000), { { "another" }, at(0) });
        const double chance = chanceOf(history, service, crashes, at(60000));
        CHECK_TEXT(chance >= item.atLeast && chance <= item.atMost, item.condition);
    }
}

TEST(CrashChance, OldCrashesAreForgottenAndMemoryIsBounded)
{
    crash_history history;
    for (int number = 0; number < 10000; ++number)
        addKnownCrash(history, startOf(number), { service, at(number) });
    CHECK_EQUAL(maxKnownCrashes, history.crashes.size());
    forgetOldCrashes(history, at(static_cast<int>(crashMemory.count()) + 10));
    CHECK_EQUAL(maxKnownCrashes - 10, history.crashes.size());
}
