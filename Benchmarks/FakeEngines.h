#pragma once

/// @file
/// Small fake engines on a virtual clock: slots, a queue, a limited prefix cache, a decode rate that falls with the batch.

#include "EventQueue.h"
#include "Measure.h"

#include <deque>
#include <map>

namespace Measure {

struct fake_attempt {
    size_t node { 0 };
    Common::attempt_number number;
    uint32_t prefix { 0 };
    int tokens { 0 };
    double beganAt { 0 };
    double prefill { 0 };
    double interval { 0 };
    int given { 0 };
};

struct fake_engine {
    Endpoints::instance_info info;
    bool isRunning { true };
    std::map<std::pair<size_t, uint64_t>, fake_attempt> running;
    std::deque<fake_attempt> waiting;
    std::deque<uint32_t> prefixes;
};

/// What the engines did and what it cost.
struct engine_totals {
    double costMicro { 0 };
    uint64_t promptsComputed { 0 };
    uint64_t promptsCached { 0 };
};

class fake_engines {
public:
    /// Gives a message to a node.
    using deliver_function = std::function<void(size_t node, Dispatch::dispatch_message&&)>;

    /// @param events the clock.
    /// @param chosen which engines there are and where the nodes stand.
    /// @param deliver called when an engine's answer reaches a node.
    fake_engines(event_queue& events, const profile& chosen, deliver_function deliver);

    /// Takes an attempt from a node.
    void start(size_t node, const Dispatch::start_attempt& action);
    /// Ends an attempt of a node wherever it is.
    void cancel(size_t node, Common::attempt_number number);
    /// Reclaims the reclaimable engines of a zone at once.
    void reclaimZone(const std::string& zone);
    /// Brings all engines back with empty caches.
    void restoreAll();
    /// Doubles the prices of a zone and lowers the others by a quarter.
    void changePrices(const std::string& zone);
    /// @return the engines that run, as the cloud lists them.
    std::vector<Endpoints::instance_info> list() const;
    /// @return the load of all engines now.
    std::vector<Endpoints::load_report> report() const;
    const engine_totals& totals() const { return m_totals; }

private:
    using attempt_key = std::pair<size_t, uint64_t>;

    fake_engine& find(const Common::endpoint_id& id);
    double link(size_t node, const fake_engine& engine) const;
    bool touchPrefix(fake_engine& engine, uint32_t prefix);
    void serve(fake_engine& engine);
    void giveTokens(fake_engine& engine, fake_attempt& attempt, int due);
    void giveDueTokens(fake_engine& engine, fake_attempt& attempt);
    void giveFirstToken(fake_engine& engine, const attempt_key& key);
    void scheduleMore(fake_engine& engine, const attempt_key& key);
    void finish(fake_engine& engine, const attempt_key& key);
    void payFor(const fake_engine& engine, const fake_attempt& attempt);
    void stop(fake_engine& engine);
    void deliverLater(const fake_engine& engine, size_t node, Dispatch::dispatch_message message);

    event_queue& m_events;
    std::vector<std::string> m_nodeRegions;
    deliver_function m_deliver;
    std::vector<fake_engine> m_engines; ///< Never grows after construction: events hold references.
    engine_totals m_totals;
};

} // namespace Measure
