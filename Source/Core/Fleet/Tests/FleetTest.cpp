/// @file
/// Endpoints as listings and notices tell of them, and the directory's choice of nodes.

#include "Fleet/Directory.h"
#include "Fleet/EndpointBook.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Fleet;
using std::chrono::milliseconds;

endpoint makeEndpoint(const char* id, int64_t started, endpoint_phase phase = endpoint_phase::Ready)
{
    endpoint item;
    item.id = { id };
    item.started = { started };
    item.address = "10.0.0.1:80";
    item.phase = phase;
    return item;
}

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

node_entry makeNode(const char* zone, const char* region, const char* address)
{
    node_entry item;
    item.zone = { zone };
    item.region = { region };
    item.callersAddress = address;
    return item;
}

} // namespace

TEST_GROUP(EndpointBook) {};

TEST(EndpointBook, ChangesAreToldOnce)
{
    struct row {
        std::vector<endpoint> listed;
        std::vector<change_kind> changes;
    };
    const row rows[] = {
        { { makeEndpoint("e", 1) }, { change_kind::Appeared } },
        { { makeEndpoint("e", 1) }, {} },
        { { makeEndpoint("e", 1, endpoint_phase::Leaving) }, { change_kind::BeganLeaving } },
        { { makeEndpoint("e", 1) }, {} },
        { { makeEndpoint("e", 2) }, { change_kind::Restarted } },
        { {}, { change_kind::Disappeared } },
    };
    endpoint_book book;
    for (const row& item : rows) {
        const auto changes = applyListing(book, { item.listed }, at(0));
        CHECK_EQUAL(item.changes.size(), changes.size());
        for (size_t index = 0; index < changes.size(); ++index)
            CHECK(item.changes[index] == changes[index].kind);
    }
}

TEST(EndpointBook, AStalerListingDoesNotTakeALeavingBack)
{
    endpoint_book book;
    applyListing(book, { { makeEndpoint("e", 1) } }, at(0));
    CHECK(noteLeaving(book, { "e" }, { 1 }).has_value());
    CHECK(!noteLeaving(book, { "e" }, { 1 }).has_value());
    applyListing(book, { { makeEndpoint("e", 1) } }, at(1));
    CHECK(book.endpoints.begin()->second.phase == endpoint_phase::Leaving);
}

TEST(EndpointBook, ANoticeOfAnEarlierStartSaysNothingOfThisOne)
{
    endpoint_book book;
    applyListing(book, { { makeEndpoint("e", 2) } }, at(0));
    CHECK(!noteLeaving(book, { "e" }, { 1 }).has_value());
    CHECK(book.endpoints.begin()->second.phase == endpoint_phase::Ready);
}

TEST(EndpointBook, MissingEntriesMayComeBackAfterAnOutage)
{
    endpoint_book book;
    applyListing(book, { { makeEndpoint("e", 1) } }, at(0));
    noteStoreReturned(book, at(1000));
    CHECK(applyListing(book, {}, at(1001)).empty());
    CHECK_EQUAL(1, book.endpoints.size());
    const auto late = applyListing(book, {}, at(1000) + entriesReturnWithin);
    CHECK_EQUAL(1, late.size());
    CHECK(late.front().kind == change_kind::Disappeared);
}

TEST(EndpointBook, AnEntryThatDoesNotComeBackGoesWithoutAnotherListing)
{
    // Guild, trouble-1, seed 83990687783: an entry was removed just after the store's return, and nothing else changed.
    endpoint_book book;
    applyListing(book, { { makeEndpoint("e", 1), makeEndpoint("f", 1) } }, at(0));
    noteStoreReturned(book, at(1000));
    CHECK(applyListing(book, { { makeEndpoint("f", 1) } }, at(1600)).empty());
    CHECK(dropMissing(book, at(1700)).empty());
    const auto gone = dropMissing(book, at(1000) + entriesReturnWithin);
    CHECK_EQUAL(1, gone.size());
    STRCMP_EQUAL("e", gone.front().item.id.value.c_str());
    CHECK_EQUAL(1, book.endpoints.size());
    CHECK(dropMissing(book, at(9000)).empty());
}

TEST_GROUP(Directory) {};

TEST(Directory, CallersAreSentToNodesNearThem)
{
    node_map nodes;
    nodes[{ "a1" }] = makeNode("a", "r", "1");
    nodes[{ "a2" }] = makeNode("a", "r", "2");
    nodes[{ "b1" }] = makeNode("b", "r", "3");
    nodes[{ "c1" }] = makeNode("c", "s", "4");
    struct row {
        const char* zone;
        const char* region;
        const char* gone; ///< A node that is unreachable.
        const char* leaving;
        size_t addresses;
    };
    const row rows[] = {
        { "a", "r", "", "", 2 },
        { "b", "r", "", "", 3 },
        { "a", "r", "a1", "", 2 },
        { "a", "r", "", "a2", 2 },
        { "c", "s", "", "", 4 },
        { "unknown", "unknown", "c1", "", 3 },
    };
    for (const row& item : rows) {
        node_map known = nodes;
        if (*item.gone)
            known[{ item.gone }].isReachable = false;
        if (*item.leaving)
            known[{ item.leaving }].isLeaving = true;
        CHECK_EQUAL(item.addresses, chooseAddresses(known, { item.zone }, { item.region }).size());
    }
}

TEST(Directory, ANodesRowIsReadAsItWasWritten)
{
    node_entry item = makeNode("a", "r", "1.2.3.4:5");
    item.node = { "n" };
    item.peerAddress = "1.2.3.4:6";
    item.incarnation = { 77 };
    item.clockOffset = -12;
    item.isLeaving = true;
    const node_entry read = decodeNode({ "n" }, encodeNode(item));
    STRCMP_EQUAL("1.2.3.4:6", read.peerAddress.c_str());
    CHECK(read.incarnation == item.incarnation);
    CHECK(read.clockOffset == item.clockOffset);
    CHECK(read.isLeaving);
    for (const char* text : { "", "[]", "{", "7" })
        CHECK(decodeNode({ "n" }, text).callersAddress.empty());
}
