/// @file
/// The real program takes the lease while the store holds each status of a rollout: what was reported for the order stays.

#include "Platform/RunningNode.h"
#include "Platform/ScriptedEndpoint.h"
#include "Platform/StoreStandIn.h"

#include <CppUTest/TestHarness.h>
#include <chrono>
#include <thread>

namespace {

using namespace PlatformTests;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int waitLimitMs = 8000;
constexpr const char* statusKey = "rollout/s";
constexpr const char* inProgress = "in_progress";

struct stored_status {
    const char* name;
    const char* state; ///< Empty: no row.
    const char* to;
    bool isOlderThanOrder;
    const char* expected;
};

const stored_status statuses[] = {
    { "no status", "", "v2", false, inProgress },
    { "in progress", inProgress, "v2", false, inProgress },
    { "completed", "completed", "v2", false, "completed" },
    { "reverted", "reverted", "v2", false, "reverted" },
    { "completed for another version", "completed", "v1", false, inProgress },
    { "completed for an earlier order", "completed", "v2", true, inProgress },
    { "reverted for an earlier order", "reverted", "v2", true, inProgress },
};

/// What the nodes meet before they know the status.
enum class trouble {
    None,
    StatusUnreadable, ///< The lease and the order can be read, the status can't.
    StoreDown, ///< All is unreadable when the node starts.
    KilledAgain, ///< The process is killed once it has taken the lease, and started while the status can't be read.
};

struct fault {
    const char* name;
    trouble kind;
};

const fault faults[] = { { "no fault", trouble::None }, { "status unreadable", trouble::StatusUnreadable }, { "store down at start", trouble::StoreDown }, { "killed again", trouble::KilledAgain } };

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

json makeManifest()
{
    return { { "version", 3 }, { "routes", json::array() }, { "services", { { { "name", "s" } } } } };
}

void putStatus(store_stand_in& store, const stored_status& status)
{
    if (*status.state != '\0')
        store.put("status", statusKey, { { "service", "s" }, { "state", status.state }, { "to", status.to } });
}

void putAll(store_stand_in& store, const stored_status& status)
{
    store.put("op", "config", makeManifest());
    if (status.isOlderThanOrder)
        putStatus(store, status);
    store.put("op", statusKey, { { "service", "s" }, { "to", "v2" }, { "finishByS", 60 } });
    if (!status.isOlderThanOrder)
        putStatus(store, status);
}

bool holdsLease(const store_stand_in& store) { return !store.get("filbertreel", "lease").empty(); }

/// @return the status row; an empty object when there is none.
json readStatus(const store_stand_in& store)
{
    const json body = json::parse(store.get("status", statusKey), nullptr, false);
    return body.is_object() ? body : json::object();
}

void play(const stored_status& status, const fault& item)
{
    store_stand_in store;
    putAll(store, status);
    if (item.kind == trouble::StatusUnreadable)
        store.failReadsOf("status");
    if (item.kind == trouble::StoreDown)
        store.setMode(store_mode::Busy);
    running_node node({ .storeAddress = store.address() });
    if (item.kind == trouble::KilledAgain) {
        CHECK_TEXT(eventually([&] { return holdsLease(store); }), status.name);
        store.failReadsOf("status");
        Harness::killProcess(node.child);
        store.remove("filbertreel", "lease");
        node.startAgain();
    }
    if (item.kind != trouble::None)
        std::this_thread::sleep_for(milliseconds(1500));
    store.failReadsOf("");
    store.setMode(store_mode::Serve);
    CHECK_TEXT(eventually([&] { return holdsLease(store); }), status.name);
    const bool isReached = eventually([&] { return readStatus(store).value("state", "") == status.expected; });
    std::this_thread::sleep_for(milliseconds(1000));
    const json end = readStatus(store);
    printf("%s, %s: %s\n", status.name, item.name, end.dump().c_str());
    CHECK_TEXT(isReached, status.name);
    STRCMP_EQUAL_TEXT(status.expected, end.value("state", "").c_str(), (std::string(status.name) + ", " + item.name).c_str());
    STRCMP_EQUAL_TEXT("v2", end.value("to", "").c_str(), status.name);
}

} // namespace

TEST_GROUP(PlatformRolloutStatus) {};

TEST(PlatformRolloutStatus, ANewHolderOverwritesNoEndOfAnOrderThatItHasNotRead)
{
    for (const stored_status& status : statuses) {
        for (const fault& item : faults)
            play(status, item);
    }
}
