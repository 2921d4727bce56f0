#pragma once

/// @file
/// Many nodes that choose among the same engines on a virtual clock. The choices are those of the scheduler; an engine is a
/// queue of prompts with a cache. A node learns an engine's load only from its own answers.

#include "Common/Random.h"
#include "Scheduling/Scheduler.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <queue>
#include <string>
#include <vector>

namespace ChoiceDays {
using namespace Scheduling;

constexpr int regions = 3;
constexpr int subjects = 1200;
constexpr double tokensPerMs = 56;
constexpr double decodeMs = 400;
constexpr double nearMs = 1;
constexpr double farMs = 30;
constexpr double dayMs = 30000;
constexpr double measuredFromMs = 10000;
constexpr double secondMs = 1000;
constexpr uint32_t rootTokens = 2500;
constexpr uint32_t subjectTokens = 3800;
constexpr uint32_t ownTokens = 2900;

struct day_plan {
    const char* condition;
    size_t nodes;
    size_t engines;
    std::vector<double> speeds; ///< In turn.
    double load; ///< Of the engines' capacity, if every prompt was read whole.
    bool statesPace; ///< The engines state their machines' pace.
};

struct day_result {
    double busiestOverMean { 0 }; ///< By engine time, in the worst second.
    double meanBusiestOverMean { 0 }; ///< The same, averaged over the seconds.
    double readAgainShare { 0 }; ///< Of all tokens that were read.
    double firstEventP99Ms { 0 };
    size_t refused { 0 };
};

struct model_engine {
    double freeAtMs { 0 };
    double speed { 1 };
    std::vector<double> endsMs; ///< Of the requests that were sent to it.
    std::map<std::string, uint32_t> cached;
    std::map<int, double> busyMs; ///< By second.
};

struct model_answer {
    double ms { 0 };
    size_t node { 0 };
    Common::endpoint_id endpoint;
    placement_id placement;
    bool isEnd { false };
    reported_load load {};

    friend bool operator<(const model_answer& left, const model_answer& right) { return left.ms > right.ms; }
};

class choice_day {
public:
    explicit choice_day(const day_plan& plan)
        : m_plan(plan)
        , m_random(plan.nodes * 1000 + plan.engines)
        , m_nodes(plan.nodes)
        , m_engines(plan.engines)
    {
        for (size_t node = 0; node < plan.nodes; ++node) {
            scheduler_state& state = m_nodes[node];
            state.random = Common::random_source(node + 1);
            for (int region = 0; region < regions; ++region)
                state.ownLocation.regions[zoneOf(static_cast<size_t>(region))] = { "r" + std::to_string(region) };
            state.ownLocation.zone = zoneOf(node);
            state.ownLocation.region = state.ownLocation.regions.at(zoneOf(node));
            for (size_t engine = 0; engine < plan.engines; ++engine) {
                Fleet::endpoint item;
                item.id = idOf(engine);
                item.service = { "s" };
                item.zone = zoneOf(engine);
                item.slots = 48;
                updateEndpoint(state, item, at(0));
            }
        }
        for (size_t engine = 0; engine < plan.engines; ++engine)
            m_engines[engine].speed = plan.speeds[engine % plan.speeds.size()];
    }

    day_result play()
    {
        const double speed = std::accumulate(m_engines.begin(), m_engines.end(), 0.0, [](double sum, const model_engine& item) { return sum + 1 / item.speed; });
        const double perMs = m_plan.load * speed * tokensPerMs / (rootTokens + subjectTokens + ownTokens);
        for (double ms = 0; ms < dayMs; ms += -std::log(1 - Common::uniformUnit(m_random)) / perMs) {
            deliverUntil(ms);
            send(Common::uniformBelow(m_random, static_cast<uint32_t>(m_plan.nodes)), ms);
        }
        return evaluate();
    }

private:
    static Common::zone_name zoneOf(size_t number) { return { "z" + std::to_string(number % regions) }; }
    static Common::endpoint_id idOf(size_t engine) { return { "e" + std::to_string(engine) }; }
    static Common::instant at(double ms) { return Common::instant(std::chrono::hours(1)) + std::chrono::microseconds(static_cast<int64_t>(ms * 1000)); }

    void deliverUntil(double ms)
    {
        while (!m_answers.empty() && m_answers.top().ms <= ms) {
            const model_answer item = m_answers.top();
            m_answers.pop();
            scheduler_state& state = m_nodes[item.node];
            if (item.isEnd) {
                recordEnd(state, item.endpoint, item.placement, placement_end::Served, at(item.ms));
                continue;
            }
            recordReportedLoad(state, item.endpoint, item.load, at(item.ms));
            recordFirstEvent(state, item.endpoint, item.placement, at(item.ms));
        }
    }

    void send(size_t node, double ms)
    {
        const std::string subject = "s" + std::to_string(Common::uniformBelow(m_random, subjects));
        const std::string root = "r" + std::to_string(std::stoul(subject.substr(1)) % 4);
        placement_request request;
        request.service = { "s" };
        request.model = model_request { "m", rootTokens + subjectTokens + ownTokens, 50, {}, { { root, rootTokens }, { root + subject, subjectTokens }, { "own", ownTokens } } };
        request.model->parts.back().id += std::to_string(++m_requests);
        request.arrived = at(ms);
        request.deadline = at(ms + 5000);
        const auto placed = place(m_nodes[node], request, {}, at(ms));
        if (!placed) {
            ++m_refused;
            return;
        }
        const size_t engine = std::stoul(placed->endpoint.value.substr(1));
        serve(node, engine, *placed, *request.model, ms);
    }

    /// The engine reads prompts one after the other and skips parts that it holds.
    void serve(size_t node, size_t number, const placement& placed, const model_request& model, double ms)
    {
        model_engine& engine = m_engines[number];
        const double wayMs = zoneOf(node) == zoneOf(number) ? nearMs : farMs;
        double tokens = ownTokens;
        for (size_t part = 0; part + 1 < model.parts.size(); ++part) {
            const prompt_part& item = model.parts[part];
            if (engine.cached.emplace(item.id, item.tokens).second) {
                tokens += item.tokens;
                m_readAgain += m_everRead[item.id]++ > 0 && ms >= measuredFromMs ? item.tokens : 0;
            }
        }
        m_read += ms >= measuredFromMs ? tokens : 0;
        const double begunMs = std::max(ms + wayMs, engine.freeAtMs);
        engine.freeAtMs = begunMs + tokens / tokensPerMs * engine.speed;
        for (double left = engine.freeAtMs - begunMs, from = begunMs; left > 0;) {
            const double part = std::min(left, (std::floor(from / secondMs) + 1) * secondMs - from);
            engine.busyMs[static_cast<int>(from / secondMs)] += part;
            from += std::max(part, 0.001);
            left -= std::max(part, 0.001);
        }
        const double endMs = engine.freeAtMs + decodeMs * engine.speed;
        engine.endsMs.push_back(endMs);
        std::erase_if(engine.endsMs, [ms](double end) { return end <= ms; });
        reported_load load { static_cast<uint32_t>(engine.endsMs.size()), 0, 48, {} };
        if (m_plan.statesPace)
            load.pacePercent = 100;
        m_answers.push({ engine.freeAtMs + wayMs, node, placed.endpoint, placed.id, false, load });
        m_answers.push({ endMs + wayMs, node, placed.endpoint, placed.id, true });
        if (ms >= measuredFromMs)
            m_firstEventMs.push_back(engine.freeAtMs + wayMs - ms);
    }

    day_result evaluate()
    {
        day_result result;
        int seconds = 0;
        for (int second = static_cast<int>(measuredFromMs / secondMs); second < static_cast<int>(dayMs / secondMs); ++second, ++seconds) {
            double sum = 0;
            double most = 0;
            for (model_engine& engine : m_engines) {
                sum += engine.busyMs[second];
                most = std::max(most, engine.busyMs[second]);
            }
            const double ratio = most / (sum / static_cast<double>(m_engines.size()));
            result.busiestOverMean = std::max(result.busiestOverMean, ratio);
            result.meanBusiestOverMean += ratio;
        }
        result.meanBusiestOverMean /= seconds;
        result.readAgainShare = m_readAgain / std::max(1.0, m_read);
        std::sort(m_firstEventMs.begin(), m_firstEventMs.end());
        result.firstEventP99Ms = m_firstEventMs.empty() ? 0 : m_firstEventMs[m_firstEventMs.size() * 99 / 100];
        result.refused = m_refused;
        return result;
    }

    day_plan m_plan;
    Common::random_source m_random;
    std::vector<scheduler_state> m_nodes;
    std::vector<model_engine> m_engines;
    std::priority_queue<model_answer> m_answers;
    std::map<std::string, int> m_everRead;
    std::vector<double> m_firstEventMs;
    uint64_t m_requests { 0 };
    size_t m_refused { 0 };
    double m_read { 0 };
    double m_readAgain { 0 };
};

} // namespace ChoiceDays
