/// @file
/// The state of a table that a node asks of a peer.

#include "Store/TableState.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace {

using namespace Store;

Common::instant at(int64_t ms)
{
    return Common::instant(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
}

using row_versions = std::vector<std::pair<std::string, uint64_t>>;

/// A copy of a table.
struct copy {
    row_versions rows; ///< Keys and versions.
    uint64_t newest { 0 };
    int64_t confirmedMs { 0 };
    uint64_t era { 0 };
    bool isComplete { true };
};

table_watch makeWatch(const copy& item)
{
    table_watch watch;
    watch.settings.table = "t";
    for (const auto& [key, version] : item.rows)
        watch.rows[key] = { { "t", "", key }, "value" + std::to_string(version), { version }, false };
    watch.newest = { item.newest };
    watch.confirmedTime = { item.confirmedMs };
    watch.confirmedAt = at(item.confirmedMs);
    watch.era = { item.era };
    watch.isComplete = item.isComplete;
    return watch;
}

row_versions rowsOf(const table_watch& watch)
{
    row_versions rows;
    rows.reserve(watch.rows.size());
    for (const auto& [key, item] : watch.rows)
        rows.emplace_back(key, item.version.value);
    return rows;
}

struct exchange {
    const char* name;
    copy asking;
    copy asked;
    bool isAnswered;
    bool hasChanged;
};

const row_versions oldRows { { "a", 1 }, { "b", 2 }, { "c", 3 } };
const row_versions newRows { { "a", 1 }, { "c", 5 }, { "d", 4 } };

const exchange exchanges[] = {
    { "rows changed, added and removed", { oldRows, 3, 100 }, { newRows, 6, 900 }, true, true },
    { "nothing changed", { oldRows, 3, 100 }, { oldRows, 3, 900 }, true, false },
    { "only a removal", { oldRows, 3, 100 }, { { { "a", 1 } }, 7, 900 }, true, true },
    { "the asking node has no copy", { {}, 0, 0, 0, false }, { newRows, 6, 900 }, true, true },
    { "the asked copy isn't newer", { oldRows, 3, 900 }, { oldRows, 3, 900 }, false, false },
    { "the asked copy is behind", { newRows, 6, 100 }, { oldRows, 3, 900 }, false, false },
    { "the asked copy isn't complete", { oldRows, 3, 100 }, { newRows, 6, 900, 0, false }, false, false },
    { "the asked copy is of a later era", { oldRows, 3, 100 }, { newRows, 6, 900, 1 }, false, false },
    { "the asked copy is of an earlier era", { oldRows, 3, 100, 1 }, { newRows, 6, 900 }, false, false },
};

} // namespace

TEST_GROUP(TableState) {};

/// A node that the store rejects had no way to close a gap in its copy.
TEST(TableState, ACopyIsBroughtToAPeersState)
{
    for (const exchange& item : exchanges) {
        table_watch watch = makeWatch(item.asking);
        const table_watch peer = makeWatch(item.asked);
        const auto state = answerStateQuery(peer, makeStateQuery(watch));
        CHECK_EQUAL_TEXT(item.isAnswered, state.has_value(), item.name);
        if (!state)
            continue;
        CHECK_EQUAL_TEXT(item.hasChanged, applyState(watch, *state, at(item.asked.confirmedMs), at(1000)), item.name);
        CHECK_TEXT(rowsOf(watch) == rowsOf(peer) && watch.isComplete, item.name);
        CHECK_TEXT(watch.newest == peer.newest && watch.confirmedAt == at(item.asked.confirmedMs), item.name);
    }
}

TEST(TableState, ALargeValueArrivesWhole)
{
    table_watch watch = makeWatch({ oldRows, 3, 100 });
    table_watch peer = makeWatch({ newRows, 6, 900 });
    peer.rows["c"].value = std::string(100000, 'x');
    CHECK(applyState(watch, *answerStateQuery(peer, makeStateQuery(watch)), at(900), at(1000)));
    CHECK(watch.rows["c"].value == peer.rows["c"].value);
}

TEST(TableState, AStateThatArrivesLateTakesNothingBack)
{
    const table_watch peer = makeWatch({ newRows, 6, 900 });
    const state_query query = makeStateQuery(makeWatch({ oldRows, 3, 100 }));
    table_watch newer = makeWatch({ { { "a", 8 } }, 8, 950 });
    CHECK_FALSE(applyState(newer, *answerStateQuery(peer, query), at(900), at(1000)));
    CHECK(rowsOf(newer) == (row_versions { { "a", 8 } }));
    CHECK(newer.confirmedAt == at(950));
}

/// The answer to a full read that was sent before would have brought removed rows back.
TEST(TableState, AFullReadInProgressBeginsAnew)
{
    table_watch watch = makeWatch({ oldRows, 3, 100, 0, false });
    CHECK(nextQuery(watch, at(200)).has_value());
    const table_watch peer = makeWatch({ newRows, 6, 900 });
    CHECK(applyState(watch, *answerStateQuery(peer, makeStateQuery(watch)), at(900), at(1000)));
    rows_answer late;
    late.outcome = call_outcome::Done;
    late.newest = { 5 };
    late.rows = { { { "t", "", "b" }, "old", { 2 }, false } };
    handleAnswer(watch, late, at(1100));
    CHECK(rowsOf(watch) == newRows);
}
