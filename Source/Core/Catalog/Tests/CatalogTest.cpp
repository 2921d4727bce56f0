/// @file
/// Routes, keys and shares of a catalog.

#include "Catalog/Catalog.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Catalog;

catalog makeCatalog()
{
    catalog made;
    made.version = 3;
    const auto add = [&made](const char* name, const char* host, const char* prefix) {
        route item;
        item.name = { name };
        item.host = host;
        item.prefix = prefix;
        item.shares = { { { "a" }, 90 }, { { "b" }, 10 } };
        made.routes.push_back(item);
    };
    add("root", "h.example", "/");
    add("long", "h.example", "/a/b/");
    add("short", "h.example", "/a/");
    add("other", "g.example", "/a/");
    account owner;
    owner.id = { "clerks" };
    owner.keys = { "k1", "k2" };
    made.accounts.push_back(owner);
    indexCatalog(made);
    return made;
}

} // namespace

TEST_GROUP(Catalog) {};

TEST(Catalog, TheLongestPrefixOfTheHostWins)
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
    const catalog made = makeCatalog();
    for (const row& item : rows) {
        const route* found = findRoute(made, item.host, item.path);
        STRCMP_EQUAL(item.route, found ? found->name.value.c_str() : "");
    }
}

TEST(Catalog, OnlyAKnownKeyHasAnAccount)
{
    const catalog made = makeCatalog();
    CHECK(findAccount(made, "k2") != nullptr);
    for (const char* key : { "", "k3", "K1" })
        CHECK(findAccount(made, key) == nullptr);
}

TEST(Catalog, RequestsSpreadOverTheSharesByWeight)
{
    struct row {
        double uniform;
        const char* service;
    };
    const row rows[] = { { 0, "a" }, { 0.89, "a" }, { 0.91, "b" }, { 0.9999, "b" } };
    const catalog made = makeCatalog();
    for (const row& item : rows)
        STRCMP_EQUAL(item.service, chooseService(made.routes.front(), item.uniform).value.c_str());
}

TEST(Catalog, WhatMayRepeatFollowsFromTheKind)
{
    struct row {
        route_kind kind;
        bool isResumable;
        bool mayRepeat;
    };
    const row rows[] = {
        { route_kind::Idempotent, false, true },
        { route_kind::AtMostOnce, false, false },
        { route_kind::AtMostOnce, true, false },
        { route_kind::Stream, false, false },
        { route_kind::Stream, true, true },
    };
    for (const row& item : rows) {
        route made;
        made.kind = item.kind;
        made.isResumable = item.isResumable;
        CHECK_EQUAL(item.mayRepeat, mayRepeat(made));
    }
}
