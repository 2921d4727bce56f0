/// @file
/// The real program while another writer leaves odd rows among those of each table: wrong types, numbers out of range, deep
/// nesting, bytes that can't be read.

#include "Control/UsageReporter.h"
#include "Platform/CloudStandIn.h"
#include "Platform/RunningNode.h"
#include "Platform/ScriptedEndpoint.h"
#include "Platform/StoreStandIn.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <chrono>
#include <thread>

namespace {

using namespace PlatformTests;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int waitLimitMs = 8000;
constexpr size_t depth = 100000;
constexpr int requestsPerKind = 20;

const std::string completeAnswer = "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.1\r\nContent-Length: 5\r\n\r\nhello";

json makeManifest(int version, const std::string& key)
{
    return { { "version", version },
        { "routes", { { { "name", "r" }, { "hostname", "h.example" }, { "prefix", "/p/" }, { "routeType", "idempotent" }, { "timeoutMs", 2000 }, { "service", "s" }, { "maxAttempts", 3 } } } },
        { "services", { { { "name", "s" } } } },
        { "tenants", { { { "name", "clerks" }, { "apiKeys", { key } } } } } };
}

json makeEntry(const std::string& address)
{
    return { { "service", "s" }, { "address", address }, { "zone", "z" }, { "version", "v1" }, { "slots", 6 }, { "state", "ready" }, { "born", 1 }, { "coldRemainingMs", 0 }, { "leaves_ms", 9000 }, { "spot", false }, { "sequence", 1 } };
}

std::string nested(const std::string& open, const std::string& close)
{
    std::string text;
    for (size_t level = 0; level < depth; ++level)
        text += open;
    text += "1";
    for (size_t level = 0; level < depth; ++level)
        text += close;
    return text;
}

/// @return texts that are no entry, or an entry with one odd member, for each member of a sound entry.
/// @param kept the member that stays as it is; may be empty.
std::vector<std::string> oddTexts(const json& sound, const std::string& kept)
{
    const std::vector<std::string> values { "1e400", "1e300", "-1e300", "18446744073709551616", "18446744073709551615", "9223372036854775807", "-9223372036854775808", "4294967296", "-1", "1.5", "\"\"", "\"text\"", "\"127.0.0.1:70000\"", "\"127.0.0.1:0\"", "\"no-number:80\"", "\"127.0.0.1\"", "null", "true", "[]", "{}", "[[{}]]", "\"\xff\xfe\"" };
    std::vector<std::string> texts { "", "null", "7", "[]", "{}", "{", "\"text\"", "\xff\xfe", std::string("\0\0", 2), nested("[", "]"), nested("{\"x\":", "}"), nested("[", ""), "\"" + std::string(1000000, 'x') + "\"" };
    const std::string start = sound.dump().substr(0, sound.dump().size() - 1);
    texts.push_back(start + ",\"x\":" + nested("[", "]") + "}");
    for (const auto& [name, value] : sound.items()) {
        if (name == kept)
            continue;
        for (const std::string& odd : values)
            texts.push_back(start + ",\"" + name + "\":" + odd + "}");
        json missing = sound;
        missing.erase(name);
        texts.push_back(missing.dump());
    }
    return texts;
}

template <typename predicate>
bool eventually(predicate condition)
{
    for (int waited = 0; waited < waitLimitMs; waited += 20) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

struct odd_kind {
    const char* name;
    const char* table;
    std::string key;
    bool isSingle; ///< One row with this key; otherwise many that begin with it.
    json sound;
    std::string kept {};
};

/// @return by how much the wall clock is ahead of the store stand-in's clock.
int64_t clockOffset()
{
    const auto wall = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    const auto steady = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now().time_since_epoch());
    return (wall - steady).count();
}

int64_t currentWindow()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// The rows of the next seconds: their window ends while the odd values stand.
std::string countKey(int number)
{
    return Control::countRow({ currentWindow() + 1 }, { "odd" + std::to_string(number) }, { 1 }).key;
}

std::vector<odd_kind> kinds()
{
    const json node { { "callers", "127.0.0.1:1" }, { "peer", "127.0.0.1:1" }, { "zone", "z" }, { "region", "r" }, { "incarnation", 1 }, { "core_share", 1.0 }, { "leaving", false }, { "clock_offset_ms", clockOffset() } };
    const json quarantine { { "trials", 1 }, { "crashes", { { { "endpoint", "i-9" }, { "started_ms", 1 } } } } };
    return {
        { "endpoint entries", "servers", "odd-", false, makeEntry("127.0.0.1:1") },
        // A manifest with a greater version is newer, whatever else it holds.
        { "manifest", "op", "config", true, makeManifest(1, "k1"), "version" },
        { "rollout order", "op", "rollout/t", true, { { "service", "t" }, { "to", "v2" }, { "finishByS", 5 } } },
        { "rollout status", "status", "rollout/s", true, { { "service", "s" }, { "state", "in_progress" }, { "to", "v2" } } },
        { "nodes", "nodes", "odd-", false, node },
        { "lease", "filbertreel", "lease", true, { { "holder", "n9" }, { "until", 1 }, { "nonce", 1 }, { "era", 0 } } },
        { "quarantine", "quarantine", "00000000000000", false, quarantine },
        { "usage counts", "usage_counts", "", false, { { "clerks", 1 } } },
    };
}

std::string keyOf(const odd_kind& kind, int number)
{
    if (std::string(kind.table) == "usage_counts")
        return countKey(number);
    return kind.isSingle ? kind.key : kind.key + std::to_string(number);
}

/// Writes one odd value after the other and lets the node read it.
bool survives(store_stand_in& store, running_node& node, const odd_kind& kind)
{
    int number = 10;
    std::vector<std::string> texts = oddTexts(kind.sound, kind.kept);
    for (const std::string& text : texts) {
        store.putBytes(kind.table, keyOf(kind, number), text);
        ++number;
        std::this_thread::sleep_for(milliseconds(kind.isSingle ? 120 : 10));
        if (!Harness::isRunning(node.child)) {
            printf("%s: the process has ended after %.150s\n", kind.name, text.c_str());
            return false;
        }
    }
    store.putUnencoded(kind.table, keyOf(kind, 9), "%%% no base64");
    std::this_thread::sleep_for(milliseconds(300));
    return Harness::isRunning(node.child);
}

int countServed(const running_node& node, const std::string& key)
{
    int served = 0;
    for (int request = 0; request < requestsPerKind; ++request)
        served += node.served(key) == 200 ? 1 : 0;
    return served;
}

} // namespace

TEST_GROUP(PlatformOddEntries) {};

TEST(PlatformOddEntries, OddRowsEndNoProcessAndChangesAfterThemAreFollowed)
{
    int version = 100;
    for (const odd_kind& kind : kinds()) {
        store_stand_in store;
        cloud_stand_in cloud;
        scripted_endpoint first({ { completeAnswer } });
        scripted_endpoint second({ { completeAnswer } });
        const std::string key = "k" + std::to_string(++version);
        store.put("op", "config", makeManifest(3, "k1"));
        store.put("op", "rollout/s", { { "service", "s" }, { "to", "v2" }, { "finishByS", 60 } });
        store.put("servers", "i-1", makeEntry(first.address()));
        const std::vector<std::string> lines { "bounds.windowS=1", "bounds.usageLateS=10" };
        running_node node({ .name = "n1", .storeAddress = store.address(), .cloudAddress = cloud.address(), .moreLines = lines });
        CHECK_TEXT(eventually([&] { return node.served() == 200; }), kind.name);
        CHECK_TEXT(survives(store, node, kind), kind.name);
        // The odd rows stay; a later manifest and a later entry take effect, and duties go on.
        store.put("op", "config", makeManifest(version, key));
        store.put("servers", "i-2", makeEntry(second.address()));
        store.remove("servers", "i-1");
        CHECK_TEXT(eventually([&] { return node.served(key) == 200 && !second.requests().empty(); }), kind.name);
        CHECK_EQUAL_TEXT(requestsPerKind, countServed(node, key), kind.name);
        const size_t reports = cloud.calls().size();
        CHECK_TEXT(eventually([&] { return node.served(key) == 200 && cloud.calls().size() > reports + 1; }), kind.name);
        CHECK_TEXT(eventually([&] { return store.get("filbertreel", "lease").find("\"n1\"") != std::string::npos; }), kind.name);
        // A process that starts now reads them all.
        running_node later({ .name = "n2", .storeAddress = store.address(), .cloudAddress = cloud.address(), .moreLines = lines });
        CHECK_TEXT(eventually([&] { return later.served(key) == 200; }), kind.name);
        CHECK_EQUAL_TEXT(requestsPerKind, countServed(later, key), kind.name);
        CHECK_TEXT(Harness::isRunning(node.child) && Harness::isRunning(later.child), kind.name);
        printf("%s: done\n", kind.name);
    }
}
