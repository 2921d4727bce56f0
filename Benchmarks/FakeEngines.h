#pragma once

/// @file
/// Simulated model engines on a virtual clock: slots, a queue, a prefix cache of limited size, and a decode rate that
/// falls as the batch grows.

#include "EventQueue.h"
#include "Measure.h"

#include <deque>
#include <map>

namespace Measure {

/// An attempt on an engine; times in seconds of virtual time.
struct fake_attempt {
    size_t node { 0 }; ///< Index of the node that sent it.
    Common::attempt_number number;
    uint32_t prefix { 0 };
    int tokens { 0 }; ///< To generate.
    double beganAt { 0 };
    double prefill { 0 }; ///< Duration of the prefill.
    double interval { 0 }; ///< Time per token while decoding.
    int sentTokens { 0 }; ///< Tokens already sent to the node.
};

struct fake_engine {
    Endpoints::instance_info info;
    bool isRunning { true };
    std::map<std::pair<size_t, uint64_t>, fake_attempt> running;
    std::deque<fake_attempt> waiting;
    std::deque<uint32_t> prefixes; ///< Prefix cache, least recently used first.
};

/// Cost and prefix cache use of all engines, summed.
struct engine_totals {
    double costMicro { 0 };
    uint64_t promptsComputed { 0 };
    uint64_t promptsCached { 0 };
};

class fake_engines {
public:
    /// Delivers a message to the node with an index.
    using deliver_function = std::function<void(size_t node, Dispatch::dispatch_message&&)>;

    /// @param events event queue; must outlive the engines.
    /// @param chosen the groups of engines and the region of each node.
    /// @param deliver called when a message of an engine reaches a node.
    fake_engines(event_queue& events, const profile& chosen, deliver_function deliver);

    /// Starts an attempt of a node; it reaches the engine after the network delay.
    void start(size_t node, const Dispatch::start_attempt& action);
    /// Ends a node's attempt, whether it waits or runs, on whichever engine has it.
    void cancel(size_t node, Common::attempt_number number);
    /// Stops all reclaimable engines of a zone without notice.
    void reclaimZone(const std::string& zone);
    /// Restarts the stopped engines, with empty prefix caches.
    void restoreAll();
    /// Doubles the prices of a zone and lowers the others by a quarter.
    void changePrices(const std::string& zone);
    /// @return the running engines, as in the cloud's instance list.
    std::vector<Endpoints::instance_info> list() const;
    /// @return the current load of all engines.
    std::vector<Endpoints::load_report> report() const;
    const engine_totals& totals() const { return m_totals; }

private:
    using attempt_key = std::pair<size_t, uint64_t>;

    fake_engine& find(const Common::endpoint_id& id);
    double networkDelay(size_t node, const fake_engine& engine) const;
    bool usePrefix(fake_engine& engine, uint32_t prefix);
    void startWaiting(fake_engine& engine);
    void sendTokens(fake_engine& engine, fake_attempt& attempt, int dueTokens);
    void sendDueTokens(fake_engine& engine, fake_attempt& attempt);
    void sendFirstToken(fake_engine& engine, const attempt_key& key);
    void scheduleNextTokens(fake_engine& engine, const attempt_key& key);
    void finish(fake_engine& engine, const attempt_key& key);
    void addCost(const fake_engine& engine, const fake_attempt& attempt);
    void stop(fake_engine& engine);
    void deliverLater(const fake_engine& engine, size_t node, Dispatch::dispatch_message message);

    event_queue& m_events;
    std::vector<std::string> m_nodeRegions;
    deliver_function m_deliver;
    std::vector<fake_engine> m_engines; ///< Not resized after construction, because scheduled events hold references.
    engine_totals m_totals;
};

} // namespace Measure
