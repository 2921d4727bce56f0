/// @file
/// How long a node goes on using an endpoint that was removed: the real decisions from the store's answers to the registry,
/// on a virtual clock, of a node that no relay tells anything.

#include "Control/StoreCallIntervals.h"
#include "Control/TablePulls.h"
#include "Control/TrueTime.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <functional>
#include <optional>

namespace {

using namespace Control;

constexpr int64_t stepMs = 10;
constexpr int64_t roundTripMs = 70; ///< Between regions, to the store and to a peer.
constexpr int64_t stallLimitMs = 700; ///< After which a read without an answer has failed, beside the wait that it asks for.
constexpr int64_t cutEndMs = 30000;
constexpr const char* leavingId = "leaving";

/// What happens to the node's calls to the store.
enum class store_trouble {
    Refused, ///< Fails at once, until cutEndMs.
    Silent, ///< No answer, until cutEndMs.
    Flaps, ///< Each third call fails, without end.
};

struct row {
    const char* name;
    store_trouble trouble;
    int64_t removedAtMs;
};

const row rows[] = {
    { "removed while the store refuses the node", store_trouble::Refused, cutEndMs - 5000 },
    { "removed while the store is silent", store_trouble::Silent, cutEndMs - 5000 },
    { "removed right before the end of a refusal", store_trouble::Refused, cutEndMs - 100 },
    { "removed right after a refusal", store_trouble::Refused, cutEndMs + 100 },
    { "removed right before the end of a silence", store_trouble::Silent, cutEndMs - 100 },
    { "removed right after a silence", store_trouble::Silent, cutEndMs + 100 },
    { "removed a second after a silence", store_trouble::Silent, cutEndMs + 1000 },
    { "removed while calls fail now and then", store_trouble::Flaps, cutEndMs },
};

const size_t fleetSizes[] = { 2, 6, 82, 295, 400 };
const int boundsMs[] = { 3000, 4000, 5000 };

Common::instant at(int64_t ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

struct answer_on_its_way {
    int64_t arrivesAt { 0 };
    std::function<void(int64_t now)> arrive;
};

/// One node beside a peer that the store always answers.
struct node_play {
    row played;
    store_call_intervals intervals;
    Store::table_watch watch;
    Store::table_watch peerWatch;
    Fleet::endpoint_registry registry;
    Fleet::node_map nodes;
    table_pull pull;
    std::vector<answer_on_its_way> answers;
    uint64_t calls { 0 };
    const Common::node_id self { "self" };

    node_play(const row& item, size_t fleet, int boundMs, int64_t phaseMs)
        : played(item)
    {
        Fleet::service_bounds bounds;
        bounds.drain = milliseconds(boundMs);
        intervals = callIntervalsFor(fleet, bounds);
        watch.settings.table = "t";
        watch.settings.maxRetryDelay = intervals.maxRetryDelay;
        watch.nextCall = at(phaseMs);
        applyIntervals(watch, intervals.endpoints, true, at(phaseMs));
        for (const char* id : { "self", "peer" })
            nodes[{ id }].node = { id };
    }

    Store::rows_answer storeAnswer(const Store::watch_query& query, int64_t now) const
    {
        constexpr uint64_t removalVersion = 8;
        const bool isRemoved = now >= played.removedAtMs;
        Store::rows_answer answer;
        answer.outcome = Store::call_outcome::Done;
        answer.newest = { isRemoved ? removalVersion : 5 };
        answer.now = { now };
        answer.elapsed = milliseconds(roundTripMs);
        const auto* changes = std::get_if<Store::change_query>(&query);
        if (!changes && !isRemoved)
            answer.rows.push_back({ { "t", "", leavingId }, "", { 5 }, false });
        if (changes && isRemoved && changes->after.value < removalVersion)
            answer.rows.push_back({ { "t", "", leavingId }, "", { removalVersion }, true });
        return answer;
    }

    void listChanged(int64_t now)
    {
        Fleet::listing listing;
        for (const auto& [key, item] : watch.rows)
            listing.endpoints.push_back({ { key }, { 1 } });
        static_cast<void>(Fleet::applyListing(registry, listing, at(now)));
    }

    void handleAnswer(const Store::rows_answer& answer, int64_t now)
    {
        const Store::watch_event event = Store::handleAnswer(watch, answer, at(now));
        if (event.wasAway)
            Fleet::startMissingEntryGrace(registry, at(now));
        if (event.hasChanged)
            listChanged(now);
    }

    /// @return when the call fails; empty if it is answered.
    std::optional<int64_t> failureOf(const Store::watch_query& query, int64_t now) const
    {
        const auto* changes = std::get_if<Store::change_query>(&query);
        const int64_t limitMs = stallLimitMs + (changes ? changes->maxWait.count() : 0);
        const bool isCut = now > 10000 && now < cutEndMs;
        if (played.trouble == store_trouble::Flaps)
            return now > 10000 && calls % 3 == 0 ? std::optional(now + roundTripMs) : std::nullopt;
        if (!isCut)
            return {};
        return now + (played.trouble == store_trouble::Silent ? limitMs : roundTripMs);
    }

    void callStore(int64_t now)
    {
        const auto query = Store::nextQuery(watch, at(now));
        if (!query)
            return;
        ++calls;
        const auto failsAt = failureOf(*query, now);
        const int64_t arrivesAt = failsAt.value_or(now + roundTripMs);
        answers.push_back({ arrivesAt, [this, query = *query, failed = failsAt.has_value()](int64_t arrivedAt) {
                               handleAnswer(failed ? Store::rows_answer {} : storeAnswer(query, arrivedAt), arrivedAt);
                           } });
    }

    void updatePeer(int64_t now)
    {
        constexpr int64_t peerIntervalMs = 400;
        if (now % peerIntervalMs != 0)
            return;
        peerWatch.settings.table = "t";
        const auto query = Store::nextQuery(peerWatch, at(now));
        if (query)
            Store::handleAnswer(peerWatch, storeAnswer(*query, now), at(now));
    }

    void askPeer(int64_t now)
    {
        const auto peer = choosePeerToAsk(pull, watch, nodes, self, self, at(now));
        if (!peer)
            return;
        answers.push_back({ now + roundTripMs, [this, query = Store::makeStateQuery(watch)](int64_t arrivedAt) {
                               const auto state = Store::answerStateQuery(peerWatch, query);
                               if (state && Store::applyState(watch, *state, at(state->changes.confirmedAt.value), at(arrivedAt)))
                                   listChanged(arrivedAt);
                           } });
    }

    /// @return how long after its removal the endpoint was still in use.
    int64_t play()
    {
        constexpr int64_t lengthMs = 50000;
        for (int64_t now = 0; now < lengthMs; now += stepMs) {
            updatePeer(now);
            std::vector<answer_on_its_way> due;
            std::erase_if(answers, [&](const answer_on_its_way& item) {
                if (item.arrivesAt <= now)
                    due.push_back(item);
                return item.arrivesAt <= now;
            });
            for (const answer_on_its_way& item : due)
                item.arrive(now);
            callStore(now);
            askPeer(now);
            static_cast<void>(Fleet::removeExpiredMissing(registry, at(now)));
            if (now > played.removedAtMs && registry.endpoints.empty())
                return now - played.removedAtMs;
        }
        return lengthMs;
    }
};

/// @return the longest time over calls that begin at different moments.
int64_t longestDelay(const row& item, size_t fleet, int boundMs)
{
    int64_t longest = 0;
    for (int64_t phaseMs = 0; phaseMs < 2000; phaseMs += 130)
        longest = std::max(longest, node_play(item, fleet, boundMs, phaseMs).play());
    return longest;
}

} // namespace

TEST_GROUP(EndpointDelay) {};

/// The time limit of a call, the delay of its repetition and the time for which missing entries are kept came to more than the bound.
TEST(EndpointDelay, ARemovedEndpointIsLeftWithinTheBoundWhateverTheStoreAnswersOneNode)
{
    int late = 0;
    for (const row& item : rows) {
        for (const size_t fleet : fleetSizes) {
            for (const int boundMs : boundsMs) {
                const int64_t delayMs = longestDelay(item, fleet, boundMs);
                late += delayMs > boundMs ? 1 : 0;
                if (delayMs > boundMs)
                    printf("%s, %zu nodes, bound %d ms: %lld ms\n", item.name, fleet, boundMs, static_cast<long long>(delayMs));
            }
        }
    }
    CHECK_EQUAL(0, late);
}
