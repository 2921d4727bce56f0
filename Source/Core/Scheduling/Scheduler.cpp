#include "Scheduling/Scheduler.h"

#include <algorithm>
#include <cmath>

namespace Scheduling {

namespace {

    /// Reading speed assumed of engines that have not answered yet.
    constexpr double initialMsPerToken = 0.03;
    /// Time to a first event beside reading the prompt, until it is learned: network, batching, the step that makes it.
    constexpr double initialBaseMs = 40;
    constexpr double leastMsPerToken = 0.001;
    constexpr double mostMsPerToken = 0.5;
    constexpr double leastBaseMs = 5;
    constexpr double mostBaseMs = 300;
    /// Samples fade by this factor, so that about the last few hundred count.
    constexpr double sampleFading = 0.995;
    constexpr double fewestSamples = 20;
    /// Only prompts of this length tell the reading speed apart from the rest.
    constexpr double tellingTokens = 1500;
    /// The speed of an unloaded engine is a low quantile of the samples: it follows lower ones fast, higher ones slowly.
    constexpr double lowerRate = 0.1;
    constexpr double higherRate = 0.01;
    /// Time of an engine that one output token takes in a batch.
    constexpr double msPerOutputToken = 0.25;
    /// Time of a plain request that waits for nothing.
    constexpr double plainWorkMs = 25;
    /// Time that each waiting or running model request adds through longer steps.
    constexpr double msPerRunning = 1;
    /// What a placement outside this zone or region must save, as it costs bytes on slow or paid links.
    constexpr double otherZoneMs = 15;
    constexpr double otherRegionMs = 180;
    /// Each score is raised by a random part of up to this share, so that nodes which know nothing of each other's
    /// placements don't all take the same of many equal endpoints.
    constexpr double randomShare = 0.15;
    /// Weight of a new sample in learned figures.
    constexpr double learningRate = 0.15;
    constexpr double pressureRate = 0.05;
    constexpr double mostPressure = 30;
    constexpr double pressureReturn = 0.01;
    constexpr double leastSlowness = 0.3;
    constexpr double mostSlowness = 8;
    /// A stated load older than this says little.
    constexpr milliseconds statedLoadAge { 1500 };
    /// Failures in a row that eject an endpoint, and for how long; the pause doubles up to the longest.
    constexpr uint32_t failuresBeforeEjection = 3;
    constexpr milliseconds firstEjection { 500 };
    constexpr milliseconds longestEjection { 4000 };
    constexpr milliseconds unreachablePause { 1000 };
    /// A warming endpoint is taken as so much slower.
    constexpr double warmingSlowness = 1.5;
    /// Share of an engine's memory that is taken to hold parts of prompts.
    constexpr double cacheShareOfMemory = 0.6;
    constexpr uint64_t assumedMemoryTokens = 300000;
    constexpr milliseconds shortestRetryAfter { 200 };

    double toMs(Common::duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

    struct line {
        double baseMs { initialBaseMs };
        double msPerToken { initialMsPerToken };
    };

    /// The learned straight line through the samples of a service.
    line readingLine(const scheduler_state& state, const Common::service_name& service)
    {
        const auto known = state.reading.find(service);
        if (known == state.reading.end() || known->second.weight < fewestSamples)
            return {};
        const reading_model& model = known->second;
        const double meanTokens = model.sumTokens / model.weight;
        const double meanMs = model.sumMs / model.weight;
        const double variance = model.sumTokensSquared / model.weight - meanTokens * meanTokens;
        const double covariance = model.sumTokensMs / model.weight - meanTokens * meanMs;
        line found;
        found.msPerToken = std::clamp(variance > 1 ? covariance / variance : initialMsPerToken, leastMsPerToken, mostMsPerToken);
        found.baseMs = std::clamp(meanMs - found.msPerToken * meanTokens, leastBaseMs, mostBaseMs);
        return found;
    }

    /// @param ms the observed time.
    /// @param unpressedMs the same without the pressure of the moment.
    void learnReading(reading_model& model, double tokens, double ms, double unpressedMs)
    {
        model.weight = model.weight * sampleFading + 1;
        model.sumTokens = model.sumTokens * sampleFading + tokens;
        model.sumMs = model.sumMs * sampleFading + unpressedMs;
        model.sumTokensSquared = model.sumTokensSquared * sampleFading + tokens * tokens;
        model.sumTokensMs = model.sumTokensMs * sampleFading + tokens * unpressedMs;
        if (tokens < tellingTokens)
            return;
        const double sample = std::clamp((ms - initialBaseMs) / tokens, leastMsPerToken, mostMsPerToken);
        if (model.unloadedMsPerToken <= 0)
            model.unloadedMsPerToken = sample;
        model.unloadedMsPerToken += (sample - model.unloadedMsPerToken) * (sample < model.unloadedMsPerToken ? lowerRate : higherRate);
    }

    double distanceMs(const scheduler_state& state, const endpoint_state& endpoint)
    {
        if (endpoint.facts.zone == state.here.zone)
            return 0;
        const auto region = state.here.regions.find(endpoint.facts.zone);
        const bool isNear = region != state.here.regions.end() && region->second == state.here.region;
        return isNear ? otherZoneMs : otherRegionMs;
    }

    double freshTokens(const endpoint_state& endpoint, const model_facts& model)
    {
        const uint32_t cached = cachedTokens(endpoint.cache, model.parts);
        return model.promptTokens > cached ? model.promptTokens - cached : 0;
    }

    uint32_t othersWaiting(const endpoint_state& endpoint, Common::instant now)
    {
        if (!endpoint.stated || now - endpoint.statedAt > statedLoadAge)
            return 0;
        const uint32_t total = endpoint.stated->running + endpoint.stated->waiting;
        const auto own = static_cast<uint32_t>(endpoint.placed.size());
        return total > own ? total - own : 0;
    }

    double pressureOf(const scheduler_state& state, const Common::service_name& service)
    {
        const auto known = state.pressure.find(service);
        return known == state.pressure.end() ? 1 : known->second;
    }

    double predictModelMs(const scheduler_state& state, const endpoint_state& endpoint, double fresh, Common::instant now)
    {
        const line learned = readingLine(state, endpoint.facts.service);
        const double reading = (endpoint.waitingTokens + fresh) * learned.msPerToken;
        const double batch = (static_cast<double>(endpoint.placed.size()) + othersWaiting(endpoint, now)) * msPerRunning;
        return (learned.baseMs + reading + batch) * endpoint.slowness * pressureOf(state, endpoint.facts.service);
    }

    double predictPlainMs(const endpoint_state& endpoint, Common::instant now)
    {
        const double ahead = static_cast<double>(endpoint.placed.size()) + othersWaiting(endpoint, now);
        const double rounds = std::floor(ahead / endpoint.facts.slots) + 1;
        return plainWorkMs * rounds * endpoint.slowness + ahead;
    }

    double predictMs(const scheduler_state& state, const endpoint_state& endpoint, const work& item, double fresh, Common::instant now)
    {
        const double ms = item.model ? predictModelMs(state, endpoint, fresh, now) : predictPlainMs(endpoint, now);
        return now < endpoint.warmFrom ? ms * warmingSlowness : ms;
    }

    bool isEligible(const endpoint_state& endpoint, const work& item, const placement_limits& limits)
    {
        if (endpoint.facts.service != item.service || endpoint.facts.phase != Fleet::endpoint_phase::Ready)
            return false;
        if (limits.onlyVersion && endpoint.facts.version != *limits.onlyVersion)
            return false;
        if (limits.neverVersion && endpoint.facts.version == *limits.neverVersion)
            return false;
        return !limits.avoided.contains(endpoint.facts.id);
    }

    struct candidate {
        endpoint_state* endpoint { nullptr };
        double fresh { 0 };
        double predicted { 0 };
        double score { 0 };
    };

    candidate findBest(scheduler_state& state, const work& item, const placement_limits& limits, bool usesEjected, Common::instant now)
    {
        candidate best;
        for (auto& [id, endpoint] : state.endpoints) {
            if (!isEligible(endpoint, item, limits) || (!usesEjected && now < endpoint.ejectedUntil))
                continue;
            candidate next { &endpoint };
            next.fresh = item.model ? freshTokens(endpoint, *item.model) : 0;
            next.predicted = predictMs(state, endpoint, item, next.fresh, now);
            next.score = (next.predicted + distanceMs(state, endpoint)) * (1 + randomShare * Common::uniformUnit(state.random));
            if (!best.endpoint || next.score < best.score)
                best = next;
        }
        return best;
    }

    placement record(scheduler_state& state, const candidate& chosen, const work& item, Common::instant now)
    {
        const placement_id id { ++state.lastPlacement.value };
        placed_work placed;
        placed.freshTokens = chosen.fresh;
        placed.sent = now;
        placed.predictedMs = chosen.predicted;
        placed.pressure = item.model ? pressureOf(state, item.service) : 1;
        placed.tokensAhead = chosen.endpoint->waitingTokens + chosen.fresh;
        if (item.model) {
            placed.outputTokens = item.model->expectedOutputTokens.value_or(item.model->mostOutputTokens);
            rememberParts(chosen.endpoint->cache, item.model->parts);
        }
        chosen.endpoint->waitingTokens += chosen.fresh;
        chosen.endpoint->placed.emplace(id, placed);
        return { chosen.endpoint->facts.id, chosen.endpoint->facts.address, id, chosen.predicted, chosen.fresh };
    }

    endpoint_state* find(scheduler_state& state, const Common::endpoint_id& id)
    {
        const auto found = state.endpoints.find(id);
        return found == state.endpoints.end() ? nullptr : &found->second;
    }

    void learnRatio(double& learned, double ratio, double rate, double most)
    {
        learned = std::clamp(learned * (1 - rate) + learned * ratio * rate, leastSlowness, most);
    }

    /// Learns from a time to a first event, or from a wait without one that is longer than predicted already.
    void learn(scheduler_state& state, endpoint_state& endpoint, const placed_work& item, double actualMs)
    {
        const double ratio = std::clamp(actualMs / std::max(1.0, item.predictedMs), leastSlowness, mostSlowness);
        learnRatio(endpoint.slowness, ratio, learningRate, mostSlowness);
        if (item.tokensAhead <= 0)
            return;
        double& pressure = state.pressure.try_emplace(endpoint.facts.service, 1).first->second;
        // The ratio is to the pressure that the prediction was made with, which may have changed since.
        learnRatio(pressure, ratio * item.pressure / pressure, pressureRate, mostPressure);
        // Both the pressure and the line through the samples scale the prediction: the pressure is drawn to one.
        pressure += (1 - pressure) * pressureReturn;
    }

    void stopWaiting(endpoint_state& endpoint, placed_work& item)
    {
        if (item.hasBegun)
            return;
        item.hasBegun = true;
        endpoint.waitingTokens = std::max(0.0, endpoint.waitingTokens - item.freshTokens);
    }

    void eject(endpoint_state& endpoint, Common::instant now)
    {
        const uint32_t doublings = std::min(endpoint.failuresInRow - failuresBeforeEjection, 3U);
        const milliseconds pause = std::min(firstEjection * (1U << doublings), longestEjection);
        endpoint.ejectedUntil = now + pause;
    }

} // namespace

void noteEndpoint(scheduler_state& state, const Fleet::endpoint& item, Common::instant now)
{
    auto known = state.endpoints.find(item.id);
    if (known != state.endpoints.end() && known->second.facts.started == item.started && known->second.facts.address == item.address) {
        known->second.facts = item;
        return;
    }
    endpoint_state fresh;
    fresh.facts = item;
    fresh.cache.capacityTokens = static_cast<uint64_t>(cacheShareOfMemory * assumedMemoryTokens);
    fresh.warmFrom = now + item.warmUpLeft;
    state.endpoints[item.id] = std::move(fresh);
}

void dropEndpoint(scheduler_state& state, const Common::endpoint_id& id)
{
    state.endpoints.erase(id);
}

tl::expected<placement, refusal> place(scheduler_state& state, const work& item, const placement_limits& limits, Common::instant now)
{
    candidate best = findBest(state, item, limits, false, now);
    // All are ejected: any of them is better than none.
    if (!best.endpoint)
        best = findBest(state, item, limits, true, now);
    if (!best.endpoint)
        return tl::unexpected(refusal { refusal_reason::NoEndpoint, shortestRetryAfter });
    const double left = toMs(item.deadline - now);
    if (best.predicted > left) {
        const auto excess = milliseconds(static_cast<int64_t>(best.predicted - left));
        return tl::unexpected(refusal { refusal_reason::TooLate, std::max(shortestRetryAfter, excess) });
    }
    return record(state, best, item, now);
}

void noteBegun(scheduler_state& state, const Common::endpoint_id& endpoint, placement_id id, Common::instant now)
{
    endpoint_state* known = find(state, endpoint);
    if (!known)
        return;
    const auto item = known->placed.find(id);
    if (item == known->placed.end() || item->second.hasBegun)
        return;
    const double actualMs = toMs(now - item->second.sent);
    learn(state, *known, item->second, actualMs);
    if (item->second.freshTokens > 0)
        learnReading(state.reading[known->facts.service], item->second.tokensAhead, actualMs, actualMs / item->second.pressure);
    stopWaiting(*known, item->second);
}

void noteEnded(scheduler_state& state, const Common::endpoint_id& endpoint, placement_id id, placement_end end, Common::instant now)
{
    endpoint_state* known = find(state, endpoint);
    if (!known)
        return;
    const auto item = known->placed.find(id);
    if (item == known->placed.end())
        return;
    const double waitedMs = toMs(now - item->second.sent);
    if (!item->second.hasBegun && end == placement_end::Abandoned && waitedMs > item->second.predictedMs)
        learn(state, *known, item->second, waitedMs);
    stopWaiting(*known, item->second);
    known->placed.erase(item);
    switch (end) {
    case placement_end::Served:
        known->failuresInRow = 0;
        return;
    case placement_end::Unreachable:
        known->ejectedUntil = now + unreachablePause;
        return;
    case placement_end::Failed:
        if (++known->failuresInRow >= failuresBeforeEjection)
            eject(*known, now);
        return;
    case placement_end::NotRun:
    case placement_end::Abandoned:
        return;
    }
}

void noteStatedLoad(scheduler_state& state, const Common::endpoint_id& endpoint, const stated_load& load, Common::instant now)
{
    endpoint_state* known = find(state, endpoint);
    if (!known)
        return;
    known->stated = load;
    known->statedAt = now;
}

double engineMs(const scheduler_state& state, const Common::service_name& service, double fresh, const model_facts& model)
{
    const auto known = state.reading.find(service);
    const bool isLearned = known != state.reading.end() && known->second.unloadedMsPerToken > 0;
    const double perToken = isLearned ? known->second.unloadedMsPerToken : initialMsPerToken;
    return fresh * perToken + model.expectedOutputTokens.value_or(model.mostOutputTokens) * msPerOutputToken;
}

bool hasEndpoint(const scheduler_state& state, const Common::service_name& service)
{
    return std::any_of(state.endpoints.begin(), state.endpoints.end(), [&service](const auto& entry) {
        return entry.second.facts.service == service && entry.second.facts.phase == Fleet::endpoint_phase::Ready;
    });
}

const char* nameOf(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::NoEndpoint:
        return "no_endpoint";
    case refusal_reason::TooLate:
        return "too_late";
    }
    return "unknown";
}

} // namespace Scheduling
