/// @file
/// The real program while a rollout is in progress and endpoints of one version only are left. A process that starts after the
/// store has lost `completed` sees the same as at the begin of a rollout, except that there is nothing to go back to.

#include "Platform/RolloutRows.h"
#include "Platform/RunningNode.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstdio>
#include <future>
#include <memory>
#include <thread>

namespace {

using namespace PlatformTests;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int orderSeconds = 10;
constexpr milliseconds playTime { 16000 };
constexpr milliseconds requestInterval { 40 };
constexpr milliseconds startLimit { 8000 };
constexpr milliseconds lateStart { 3000 }; ///< After which a version that comes late is there.

enum class presence {
    None,
    Ready,
    Leaving,
    Late, ///< Listed some time after the node's start.
    Failing, ///< Ready, and every other answer is a failure.
};

struct shape {
    const char* name;
    presence oldVersion;
    presence newVersion;
    const char* status; ///< In the store at the node's start; empty: none.
    bool isOrderedAgain; ///< The operator writes the same order once more after the status.
    const char* expected; ///< State reported at the end.
    double minServed; ///< Share of the requests.
};

const shape shapes[] = {
    { "completed was lost, in progress is back", presence::None, presence::Ready, "in_progress", false, "completed", 1 },
    { "completed was lost, no status is back", presence::None, presence::Ready, "", false, "completed", 1 },
    { "the same order once more after completed", presence::None, presence::Ready, "completed", true, "completed", 1 },
    { "the old version is leaving", presence::Leaving, presence::Ready, "in_progress", false, "completed", 1 },
    { "the new version comes back late", presence::None, presence::Late, "in_progress", false, "completed", 0.6 },
    { "the only version fails at times", presence::None, presence::Failing, "in_progress", false, "completed", 0.4 },
    { "the new version never came", presence::Ready, presence::None, "in_progress", false, "reverted", 1 },
    { "the new version is leaving", presence::Ready, presence::Leaving, "in_progress", false, "reverted", 1 },
};

std::vector<scripted_answer> makeAnswers(presence present)
{
    constexpr size_t scriptLength = 2000;
    if (present != presence::Failing)
        return { makeSealedAnswer("200 OK") };
    std::vector<scripted_answer> answers;
    for (size_t number = 0; number < scriptLength; ++number)
        answers.push_back(makeSealedAnswer(number % 2 == 0 ? "200 OK" : "500 Internal Server Error"));
    return answers;
}

/// The endpoint of one version.
class version_endpoint {
public:
    version_endpoint(store_stand_in& store, const char* version, presence present)
        : m_store(store)
        , m_version(version)
        , m_present(present)
        , m_endpoint(makeAnswers(present))
    {
        if (present != presence::None && present != presence::Late)
            list();
    }

    void appearLate()
    {
        if (m_present == presence::Late)
            list();
    }

private:
    void list()
    {
        listEndpoint(m_store, m_version, m_endpoint.address(), m_present == presence::Leaving ? "draining" : "ready");
    }

    store_stand_in& m_store;
    std::string m_version;
    presence m_present;
    scripted_endpoint m_endpoint;
};

struct outcome {
    int asked { 0 };
    int served { 0 };
    std::string state;
    bool wasReverted { false }; ///< At any time.
};

std::string readState(const store_stand_in& store)
{
    const json body = json::parse(store.get("status", rolloutKey), nullptr, false);
    return body.is_object() ? body.value("state", "") : "";
}

/// The store, the endpoints and a node of one shape. They are made one after the other, because a child process inherits the
/// sockets that other threads are about to bind.
struct world {
    const shape& item;
    store_stand_in store {};
    std::unique_ptr<version_endpoint> oldVersion {};
    std::unique_ptr<version_endpoint> newVersion {};
    std::unique_ptr<running_node> node {};

    explicit world(const shape& played)
        : item(played)
    {
        store.put("op", "config", makeRolloutManifest());
        putRolloutOrder(store, "v2", orderSeconds);
        if (*item.status != '\0')
            store.put("status", rolloutKey, { { "service", "s" }, { "state", item.status }, { "to", "v2" } });
        oldVersion = std::make_unique<version_endpoint>(store, "v1", item.oldVersion);
        newVersion = std::make_unique<version_endpoint>(store, "v2", item.newVersion);
        node = std::make_unique<running_node>(node_surroundings { .storeAddress = store.address() });
    }
};

outcome play(world& played)
{
    for (milliseconds waited { 0 }; played.node->readiness() != 200 && waited < startLimit; waited += requestInterval)
        std::this_thread::sleep_for(requestInterval);
    if (played.item.isOrderedAgain)
        putRolloutOrder(played.store, "v2", orderSeconds);
    outcome result;
    const auto begun = std::chrono::steady_clock::now();
    bool hasAppeared = false;
    while (std::chrono::steady_clock::now() - begun < playTime) {
        if (!hasAppeared && std::chrono::steady_clock::now() - begun > lateStart) {
            played.newVersion->appearLate();
            hasAppeared = true;
        }
        ++result.asked;
        result.served += played.node->served() == 200 ? 1 : 0;
        result.wasReverted = result.wasReverted || readState(played.store) == "reverted";
        std::this_thread::sleep_for(requestInterval);
    }
    result.state = readState(played.store);
    return result;
}

} // namespace

TEST_GROUP(PlatformLoneVersion) {};

// Guards against a rollout that refuses the requests of a service, or takes its only endpoints back, because it takes for granted
// that another version is there (RECOVER).
TEST(PlatformLoneVersion, TheOnlyVersionLeftServesAndIsNeverReverted)
{
    std::vector<std::unique_ptr<world>> worlds;
    for (const shape& item : shapes)
        worlds.push_back(std::make_unique<world>(item));
    std::vector<std::future<outcome>> plays;
    for (const std::unique_ptr<world>& item : worlds)
        plays.push_back(std::async(std::launch::async, play, std::ref(*item)));
    std::vector<outcome> outcomes;
    for (std::future<outcome>& item : plays)
        outcomes.push_back(item.get());
    for (size_t number = 0; number < outcomes.size(); ++number) {
        const shape& item = shapes[number];
        const outcome& result = outcomes[number];
        printf("%s: %d of %d served, %s\n", item.name, result.served, result.asked, result.state.c_str());
    }
    for (size_t number = 0; number < outcomes.size(); ++number) {
        const shape& item = shapes[number];
        const outcome& result = outcomes[number];
        STRCMP_EQUAL_TEXT(item.expected, result.state.c_str(), item.name);
        CHECK_EQUAL_TEXT(std::string(item.expected) == "reverted", result.wasReverted, item.name);
        CHECK_TEXT(result.served >= item.minServed * result.asked, item.name);
    }
}
