/// @file
/// What the check of a catalog finds before it is sent, and how two catalogs differ.

#include "Catalog/Check.h"

#include <CppUTest/TestHarness.h>

#include <functional>

namespace {

using namespace Catalog;

catalog makeCatalog()
{
    catalog made;
    made.version = 7;
    route item;
    item.name = { "r" };
    item.host = "h.example";
    item.prefix = "/p/";
    item.shares = { { { "s" }, 1 } };
    item.kind = route_kind::Stream;
    item.timeout = milliseconds(2000);
    item.target = milliseconds(500);
    made.routes = { item };
    service used;
    used.name = { "s" };
    made.services.emplace(used.name, used);
    account owner;
    owner.id = { "a" };
    owner.keys = { "secret-1" };
    made.accounts = { owner };
    return made;
}

using change = std::function<void(catalog&)>;

} // namespace

TEST_GROUP(Check) {};

// Guards against a configuration that is sent although part of it can't take effect.
TEST(Check, EntriesThatCannotWorkAreFound)
{
    struct row {
        const char* condition;
        change make;
        const char* entry; ///< Of the only finding; empty: there is none.
        finding_kind kind;
    };
    const row rows[] = {
        { "nothing wrong", [](catalog&) {}, "", finding_kind::Error },
        { "a prefix without its last slash", [](catalog& item) { item.routes[0].prefix = "/p"; }, "r", finding_kind::Error },
        { "a host with a port", [](catalog& item) { item.routes[0].host = "h:80"; }, "r", finding_kind::NeverMatches },
        { "a service that isn't there", [](catalog& item) { item.routes[0].shares.push_back({ { "t" }, 1 }); }, "r", finding_kind::Error },
        { "no weights", [](catalog& item) { item.routes[0].shares[0].weight = 0; }, "r", finding_kind::NeverMatches },
        { "a target beyond the timeout", [](catalog& item) { item.routes[0].target = milliseconds(3000); }, "r", finding_kind::Contradiction },
        { "a target without a timeout", [](catalog& item) { item.routes[0].timeout = milliseconds(0); }, "", finding_kind::Error },
        { "the same host and prefix again", [](catalog& item) { item.routes.push_back(item.routes[0]); item.routes[1].name = { "r2" }; }, "r2", finding_kind::NeverMatches },
        { "a resumable call", [](catalog& item) { item.routes[0].kind = route_kind::Idempotent; item.routes[0].isResumable = true; }, "r", finding_kind::Contradiction },
        { "an unused service", [](catalog& item) { item.services[{ "t" }].name = { "t" }; }, "t", finding_kind::NeverMatches },
        { "fewer at most than at least", [](catalog& item) { item.services[{ "s" }].scaling = scaling_bounds { 3, 2, {}, 1, { { { "z" }, 1 } } }; }, "s", finding_kind::Contradiction },
        { "no key", [](catalog& item) { item.accounts[0].keys.clear(); }, "a", finding_kind::NeverMatches },
        { "no account", [](catalog& item) { item.accounts.clear(); }, "accounts", finding_kind::NeverMatches },
        { "no account, and keys aren't required", [](catalog& item) { item.accounts.clear(); item.requiresKeys = false; }, "", finding_kind::Error },
        { "another account's key", [](catalog& item) { item.accounts.push_back(item.accounts[0]); item.accounts[1].id = { "b" }; }, "b", finding_kind::NeverMatches },
        { "a burst without a rate", [](catalog& item) { item.accounts[0].allowed.burst = 5; }, "a", finding_kind::NeverMatches },
        { "an allowance below one request", [](catalog& item) { item.accounts[0].allowed = { 50, 50, true, 200 }; }, "a", finding_kind::Contradiction },
        { "a route without any home", [](catalog& item) { item.routes[0].homes.emplace(); }, "r", finding_kind::NeverMatches },
        { "an account without any home", [](catalog& item) { item.accounts[0].homes.emplace(); }, "a", finding_kind::NeverMatches },
        { "no home in common", [](catalog& item) { item.routes[0].homes = home_regions { { "e" } }; item.accounts[0].homes = home_regions { { "w" } }; }, "a", finding_kind::Contradiction },
        { "a home in common", [](catalog& item) { item.routes[0].homes = home_regions { { "e" }, { "w" } }; item.accounts[0].homes = home_regions { { "w" } }; }, "", finding_kind::Error },
        { "idle for less than a head may take", [](catalog& item) { item.limits.idleTimeout = milliseconds(1000); }, "limits", finding_kind::Contradiction },
    };
    for (const row& item : rows) {
        catalog checked = makeCatalog();
        item.make(checked);
        const std::vector<finding> found = checkCatalog(checked);
        CHECK_EQUAL_TEXT(item.entry[0] == 0 ? 0 : 1, found.size(), item.condition);
        if (found.size() != 1)
            continue;
        STRCMP_EQUAL_TEXT(item.entry, found[0].entry.c_str(), item.condition);
        CHECK_TRUE_TEXT(found[0].kind == item.kind, item.condition);
    }
}

TEST(Check, DifferencesNameEntriesAndNoKeys)
{
    struct row {
        const char* condition;
        change make;
        const char* entry; ///< Of the only difference; empty: there is none.
        const char* text;
    };
    const row rows[] = {
        { "equal", [](catalog&) {}, "", "" },
        { "a route more", [](catalog& item) { item.routes.push_back(item.routes[0]); item.routes[1].name = { "r2" }; }, "route r2", "" },
        { "a route less", [](catalog& item) { item.routes.clear(); }, "route r", "" },
        { "another timeout", [](catalog& item) { item.routes[0].timeout = milliseconds(900); }, "route r", "timeout_ms: 2000 -> 900" },
        { "no keys required", [](catalog& item) { item.requiresKeys = false; }, "accounts", "requires_keys: true -> false" },
        { "homes", [](catalog& item) { item.routes[0].homes = home_regions { { "e" }, { "w" } }; }, "route r", "homes: any -> e+w" },
        { "no home at all", [](catalog& item) { item.accounts[0].homes.emplace(); }, "account a", "homes: any -> none" },
        { "another key", [](catalog& item) { item.accounts[0].keys = { "secret-2" }; }, "account a", "keys: 1 added, 1 removed" },
        { "another limit", [](catalog& item) { item.limits.bodyBytes = 9; }, "limits", "body_bytes: 4194304 -> 9" },
    };
    for (const row& item : rows) {
        catalog next = makeCatalog();
        item.make(next);
        const std::vector<difference> found = compareCatalogs(makeCatalog(), next);
        CHECK_EQUAL_TEXT(item.entry[0] == 0 ? 0 : 1, found.size(), item.condition);
        if (found.size() != 1)
            continue;
        STRCMP_EQUAL_TEXT(item.entry, found[0].entry.c_str(), item.condition);
        STRCMP_EQUAL_TEXT(item.text, found[0].text.c_str(), item.condition);
    }
}

TEST(Check, AVersionThatNodesWouldIgnoreIsAnError)
{
    catalog next = makeCatalog();
    CHECK_EQUAL(1, checkVersion(makeCatalog(), next).size());
    next.version = 8;
    CHECK_EQUAL(0, checkVersion(makeCatalog(), next).size());
}
