/// @file
/// Look-ups in a catalog: a route by host and path, an account by key, a service by weight.

#include "Catalog/Catalog.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Catalog;

catalog makeCatalog()
{
    catalog result;
    result.version = 3;
    const auto addRoute = [&result](const char* name, const char* host, const char* prefix) {
        route item;
        item.name = { name };
        item.host = host;
        item.prefix = prefix;
        item.shares = { { { "a" }, 90 }, { { "b" }, 10 } };
        result.routes.push_back(item);
    };
    addRoute("root", "h.example", "/");
    addRoute("long", "h.example", "/a/b/");
    addRoute("short", "h.example", "/a/");
    addRoute("other", "g.example", "/a/");
    account testAccount;
    testAccount.id = { "clerks" };
    testAccount.keys = { "k1", "k2" };
    result.accounts.push_back(testAccount);
    indexCatalog(result);
    return result;
}

} // namespace

TEST_GROUP(Catalog) {};

TEST(Catalog, TheLongestMatchingPrefixOfTheHostIsChosen)
{
    struct row {
        const char* host;
        const char* path;
        const char* route;
    };
    const row rows[] = {
        { "h.example", "/a/b/c", "long" },
        { "H.EXAMPLE:8080", "/a/b/", "long" },
        { "h.example", "/a/b", "short" },
        { "h.example", "/ab/", "root" },
        { "g.example", "/a/x", "other" },
        { "g.example", "/b/", "" },
        { "unknown.example", "/a/", "" },
    };
    const catalog testCatalog = makeCatalog();
    for (const row& item : rows) {
        const route* found = findRoute(testCatalog, item.host, item.path);
        STRCMP_EQUAL(item.route, found ? found->name.value.c_str() : "");
    }
}

TEST(Catalog, OnlyAKnownKeyHasAnAccount)
{
    const catalog testCatalog = makeCatalog();
    CHECK(findAccount(testCatalog, "k2") != nullptr);
    for (const char* key : { "", "k3", "K1" })
        CHECK(findAccount(testCatalog, key) == nullptr);
}

TEST(Catalog, RequestsAreDistributedByWeight)
{
    struct row {
        double uniform;
        const char* service;
    };
    const row rows[] = { { 0, "a" }, { 0.89, "a" }, { 0.91, "b" }, { 0.9999, "b" } };
    const catalog testCatalog = makeCatalog();
    for (const row& item : rows)
        STRCMP_EQUAL(item.service, chooseService(testCatalog.routes.front(), item.uniform).value.c_str());
}

TEST(Catalog, OnlyIdempotentRoutesAndResumableStreamsMayRepeat)
{
    struct row {
        route_kind kind;
        bool isResumable;
        bool mayRetry;
    };
    const row rows[] = {
        { route_kind::Idempotent, false, true },
        { route_kind::AtMostOnce, false, false },
        { route_kind::AtMostOnce, true, false },
        { route_kind::Stream, false, false },
        { route_kind::Stream, true, true },
    };
    for (const row& item : rows) {
        route testRoute;
        testRoute.kind = item.kind;
        testRoute.isResumable = item.isResumable;
        CHECK_EQUAL(item.mayRetry, mayRetry(testRoute));
    }
}
