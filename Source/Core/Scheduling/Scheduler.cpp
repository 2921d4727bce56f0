#include "Scheduling/Scheduler.h"

#include "Scheduling/PromptHolders.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Scheduling {

namespace {

    /// Prefill time per prompt token that is assumed until a service has enough samples.
    constexpr double initialMsPerToken = 0.03;
    /// Time to the first event besides the prefill (network, batching, first decoding step), assumed until it is measured.
    constexpr double initialBaseMs = 40;
    constexpr double minMsPerToken = 0.001;
    constexpr double maxMsPerToken = 0.5;
    constexpr double minBaseMs = 5;
    constexpr double maxBaseMs = 300;
    /// Each new sample scales the weight of the older ones by this factor, so that about the last few hundred count.
    constexpr double sampleDecay = 0.995;
    constexpr double minSamples = 20;
    /// For shorter prompts the prefill time can't be told apart from the other delays.
    constexpr double minTokensForSpeedSample = 1500;
    /// The prefill speed of an unloaded engine is estimated as a low quantile of the samples: the estimate follows lower
    /// samples fast and higher ones slowly.
    constexpr double lowerSampleRate = 0.1;
    constexpr double higherSampleRate = 0.01;
    /// Engine time per output token of a batched request.
    constexpr double msPerOutputToken = 0.25;
    /// Time of a plain service request that doesn't queue.
    constexpr double plainRequestMs = 25;
    /// Each waiting or running model request makes the engine's decoding steps longer by this time.
    constexpr double msPerConcurrentRequest = 1;
    /// An endpoint in another zone or region must save at least this much time, because its traffic crosses slow or
    /// charged links.
    constexpr double otherZonePenaltyMs = 15;
    constexpr double otherRegionPenaltyMs = 180;
    /// Each score is raised by a random share of up to this. Nodes don't know each other's placements; without the jitter
    /// they would all choose the same of many equal endpoints.
    constexpr double maxScoreJitter = 0.15;
    /// The same where nodes agree on the holders of prompt parts, which spreads requests already.
    constexpr double maxHolderScoreJitter = 0.05;
    /// Of fewer endpoints in a region each soon holds most parts, and a node's own memory says which.
    constexpr size_t minEndpointsForHolders = 6;
    /// Reading tokens that another endpoint holds delays the requests behind them as well.
    constexpr double readingWeight = 2;
    /// A node has few samples of each of many endpoints, so their factors count by half, as an exponent.
    constexpr double latencyFactorWeight = 0.5;
    /// Weight of a new sample in the latency factor of an endpoint and of a service.
    constexpr double endpointFactorRate = 0.15;
    constexpr double serviceFactorRate = 0.05;
    constexpr double maxServiceFactor = 30;
    constexpr double serviceFactorDecay = 0.01;
    constexpr double minLatencyFactor = 0.3;
    constexpr double maxLatencyFactor = 8;
    /// An older reported load is ignored.
    constexpr milliseconds maxReportedLoadAge { 1500 };
    /// Consecutive failures that eject an endpoint, and for how long: the time doubles with each further failure, up to the
    /// maximum.
    constexpr uint32_t failuresBeforeEjection = 3;
    constexpr milliseconds firstEjection { 500 };
    constexpr milliseconds maxEjection { 4000 };
    constexpr milliseconds unreachableEjection { 1000 };
    /// Predicted times of an endpoint in its warm-up are multiplied by this.
    constexpr double warmUpFactor = 1.5;
    /// Share of an engine's memory that is assumed to cache prompt parts.
    constexpr double cacheShareOfMemory = 0.6;
    constexpr uint64_t assumedMemoryTokens = 300000;
    constexpr milliseconds minRetryAfter { 200 };
    /// About the time in which endpoints that a region has lost are replaced.
    constexpr milliseconds retryAfterOutsideHomes { 2000 };
    /// After this time without an observation, a request that would be refused by earlier ones is placed as a trial.
    constexpr milliseconds trialInterval { 1000 };

    double toMs(Common::duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

    struct linear_fit {
        double baseMs { initialBaseMs };
        double msPerToken { initialMsPerToken };
    };

    /// @return the regression line through the samples of a service, or the initial values if there are too few samples.
    linear_fit fitPrefillTime(const scheduler_state& state, const Common::service_name& service)
    {
        const auto entry = state.prefillRegressions.find(service);
        if (entry == state.prefillRegressions.end() || entry->second.weight < minSamples)
            return {};
        const prefill_regression& regression = entry->second;
        const double meanTokens = regression.sumTokens / regression.weight;
        const double meanMs = regression.sumMs / regression.weight;
        const double variance = regression.sumTokensSquared / regression.weight - meanTokens * meanTokens;
        const double covariance = regression.sumTokensMs / regression.weight - meanTokens * meanMs;
        linear_fit fit;
        fit.msPerToken = std::clamp(variance > 1 ? covariance / variance : initialMsPerToken, minMsPerToken, maxMsPerToken);
        fit.baseMs = std::clamp(meanMs - fit.msPerToken * meanTokens, minBaseMs, maxBaseMs);
        return fit;
    }

    /// @param tokens prompt tokens processed before the first event.
    /// @param ms observed time to the first event.
    /// @param normalizedMs the same divided by the service's latency factor.
    void addPrefillSample(prefill_regression& regression, double tokens, double ms, double normalizedMs)
    {
        regression.weight = regression.weight * sampleDecay + 1;
        regression.sumTokens = regression.sumTokens * sampleDecay + tokens;
        regression.sumMs = regression.sumMs * sampleDecay + normalizedMs;
        regression.sumTokensSquared = regression.sumTokensSquared * sampleDecay + tokens * tokens;
        regression.sumTokensMs = regression.sumTokensMs * sampleDecay + tokens * normalizedMs;
        if (tokens < minTokensForSpeedSample)
            return;
        const double sample = std::clamp((ms - initialBaseMs) / tokens, minMsPerToken, maxMsPerToken);
        if (regression.unloadedMsPerToken <= 0)
            regression.unloadedMsPerToken = sample;
        regression.unloadedMsPerToken += (sample - regression.unloadedMsPerToken) * (sample < regression.unloadedMsPerToken ? lowerSampleRate : higherSampleRate);
    }

    bool isInOwnRegion(const scheduler_state& state, const endpoint_state& endpoint)
    {
        const auto region = state.ownLocation.regions.find(endpoint.facts.zone);
        return region != state.ownLocation.regions.end() && region->second == state.ownLocation.region;
    }

    double distancePenaltyMs(const scheduler_state& state, const endpoint_state& endpoint)
    {
        if (endpoint.facts.zone == state.ownLocation.zone)
            return 0;
        return isInOwnRegion(state, endpoint) ? otherZonePenaltyMs : otherRegionPenaltyMs;
    }

    double countUncachedTokens(const endpoint_state& endpoint, const model_request& model)
    {
        const uint32_t cached = cachedTokens(endpoint.cache, model.parts);
        return model.promptTokens > cached ? model.promptTokens - cached : 0;
    }

    const service_load& serviceLoadOf(const scheduler_state& state, const Common::service_name& service)
    {
        static const service_load unknown;
        const auto found = state.serviceLoads.find(service);
        return found == state.serviceLoads.end() ? unknown : found->second;
    }

    double countRequestsOfOtherNodes(const scheduler_state& state, const endpoint_state& endpoint, Common::instant now)
    {
        const service_load& service = serviceLoadOf(state, endpoint.facts.service);
        if (service.hasSharedMachines)
            return estimateOthers(service, endpoint.reported, now);
        if (!endpoint.reported || now - endpoint.reported->at > maxReportedLoadAge)
            return 0;
        const uint32_t total = endpoint.reported->load.running + endpoint.reported->load.waiting;
        const auto own = static_cast<uint32_t>(endpoint.placed.size());
        return total > own ? total - own : 0;
    }

    double serviceLatencyFactorOf(const scheduler_state& state, const Common::service_name& service)
    {
        const auto found = state.serviceLatencyFactors.find(service);
        return found == state.serviceLatencyFactors.end() ? 1 : found->second;
    }

    /// @return the time of a plain request by the endpoint's load, for an endpoint of usual speed.
    double expectPlainMs(const scheduler_state& state, const endpoint_state& endpoint, Common::instant now)
    {
        const double requestsAhead = static_cast<double>(endpoint.placed.size()) + countRequestsOfOtherNodes(state, endpoint, now);
        const double rounds = std::floor(requestsAhead / endpoint.facts.slots) + 1;
        return plainRequestMs * rounds + requestsAhead;
    }

    /// @return the time to the first event by the request's work and the endpoint's load, for an endpoint of usual speed.
    double expectModelMs(const scheduler_state& state, const linear_fit& fit, const endpoint_state& endpoint, double uncachedTokens, Common::instant now)
    {
        const double prefillMs = (endpoint.waitingTokens + uncachedTokens) * fit.msPerToken;
        const double others = countRequestsOfOtherNodes(state, endpoint, now);
        const double batchMs = (static_cast<double>(endpoint.placed.size()) + others) * msPerConcurrentRequest;
        const service_load& service = serviceLoadOf(state, endpoint.facts.service);
        if (!service.hasSharedMachines)
            return fit.baseMs + prefillMs + batchMs;
        const double othersPrefillMs = estimatePrefillOfOthersMs(service, others, fit.msPerToken);
        return (fit.baseMs + prefillMs + batchMs + othersPrefillMs) * estimatePace(endpoint.reported, now);
    }

    double expectMs(const scheduler_state& state, const endpoint_state& endpoint, const placement_request& request, double uncachedTokens, Common::instant now)
    {
        return request.model ? expectModelMs(state, fitPrefillTime(state, endpoint.facts.service), endpoint, uncachedTokens, now) : expectPlainMs(state, endpoint, now);
    }

    /// @return the time to the first event without anything learned from observed times.
    double assumeMs(const scheduler_state& state, const endpoint_state& endpoint, const placement_request& request, double uncachedTokens, Common::instant now)
    {
        return request.model ? expectModelMs(state, linear_fit {}, endpoint, uncachedTokens, now) : expectPlainMs(state, endpoint, now);
    }

    double predictModelMs(const scheduler_state& state, const endpoint_state& endpoint, double uncachedTokens, Common::instant now)
    {
        return expectModelMs(state, fitPrefillTime(state, endpoint.facts.service), endpoint, uncachedTokens, now) * endpoint.latencyFactor * serviceLatencyFactorOf(state, endpoint.facts.service);
    }

    double predictPlainMs(const scheduler_state& state, const endpoint_state& endpoint, Common::instant now)
    {
        const double requestsAhead = static_cast<double>(endpoint.placed.size()) + countRequestsOfOtherNodes(state, endpoint, now);
        const double rounds = std::floor(requestsAhead / endpoint.facts.slots) + 1;
        return plainRequestMs * rounds * endpoint.latencyFactor + requestsAhead;
    }

    double predictMs(const scheduler_state& state, const endpoint_state& endpoint, const placement_request& request, double uncachedTokens, Common::instant now)
    {
        const double ms = request.model ? predictModelMs(state, endpoint, uncachedTokens, now) : predictPlainMs(state, endpoint, now);
        return now < endpoint.warmUpEnd ? ms * warmUpFactor : ms;
    }

    bool isReady(const scheduler_state& state, const Fleet::endpoint& endpoint)
    {
        const declaration* declared = findDeclaration(state.declarations, endpoint.id, endpoint.started);
        return endpoint.phase == Fleet::endpoint_phase::Ready && !(declared && declared->isLeaving);
    }

    Common::instant backoffEndOf(const scheduler_state& state, const Fleet::endpoint& endpoint)
    {
        const declaration* declared = findDeclaration(state.declarations, endpoint.id, endpoint.started);
        return declared ? declared->backoffEnd : Common::instant {};
    }

    bool isEligible(const scheduler_state& state, const endpoint_state& endpoint, const placement_request& request, const placement_limits& limits)
    {
        if (endpoint.facts.service != request.service || !isReady(state, endpoint.facts))
            return false;
        if (!mayUseZone(state.ownLocation, limits, endpoint.facts.zone))
            return false;
        if (limits.onlyVersion && endpoint.facts.version != *limits.onlyVersion)
            return false;
        if (limits.neverVersions.contains(endpoint.facts.version))
            return false;
        return !limits.avoided.contains(endpoint.facts.id);
    }

    /// @return the endpoints that hold the request's shared prompt parts, of a service whose endpoints share their machines.
    std::vector<prompt_holder> findHolders(const scheduler_state& state, const placement_request& request, const placement_limits& limits)
    {
        if (!request.model || !serviceLoadOf(state, request.service).hasSharedMachines)
            return {};
        std::vector<Common::endpoint_id> near;
        for (const auto& [id, endpoint] : state.endpoints) {
            // Endpoints that a single request may not use again still hold the part.
            if (endpoint.facts.service == request.service && isReady(state, endpoint.facts) && isInOwnRegion(state, endpoint) && mayUseZone(state.ownLocation, limits, endpoint.facts.zone))
                near.push_back(id);
        }
        return near.size() < minEndpointsForHolders ? std::vector<prompt_holder> {} : findPromptHolders(*request.model, near);
    }

    /// @return the prompt tokens that the endpoint has to process.
    double expectUncachedTokens(const endpoint_state& endpoint, const placement_request& request, const std::vector<prompt_holder>& holders)
    {
        if (!request.model)
            return 0;
        const double uncached = countUncachedTokens(endpoint, *request.model);
        const auto holder = std::find_if(holders.begin(), holders.end(), [&](const prompt_holder& item) { return item.endpoint == endpoint.facts.id; });
        return holder == holders.end() ? uncached : std::min(uncached, request.model->promptTokens - holder->cachedTokens);
    }

    struct candidate {
        endpoint_state* endpoint { nullptr };
        double uncachedTokens { 0 };
        double predicted { 0 };
        double expected { 0 };
        double score { 0 };
        double learned { 0 }; ///< Of a trial: the prediction that would refuse it.
    };

    double scoreOf(scheduler_state& state, const candidate& item)
    {
        return (item.predicted + distancePenaltyMs(state, *item.endpoint)) * (1 + maxScoreJitter * Common::uniformUnit(state.random));
    }

    /// @return prefill time per token. The slope of the regression is too low while what other nodes have sent is unknown.
    double prefillMsPerToken(const scheduler_state& state, const Common::service_name& service)
    {
        const auto regression = state.prefillRegressions.find(service);
        const bool isMeasured = regression != state.prefillRegressions.end() && regression->second.unloadedMsPerToken > 0;
        return std::max(fitPrefillTime(state, service).msPerToken, isMeasured ? regression->second.unloadedMsPerToken : initialMsPerToken);
    }

    /// Where nodes agree on the holders of prompt parts, what has to be read decides before what a node believes of the load.
    double scoreAmongHolders(scheduler_state& state, const placement_request& request, const candidate& item, Common::instant now)
    {
        const endpoint_state& endpoint = *item.endpoint;
        const double msPerToken = prefillMsPerToken(state, request.service);
        const double others = countRequestsOfOtherNodes(state, endpoint, now);
        const double othersMs = estimatePrefillOfOthersMs(serviceLoadOf(state, request.service), others, msPerToken);
        const double waitMs = (others + static_cast<double>(endpoint.placed.size())) * msPerConcurrentRequest + othersMs + endpoint.waitingTokens * msPerToken;
        const double readMs = item.uncachedTokens * msPerToken * readingWeight;
        const double warmUp = now < endpoint.warmUpEnd ? warmUpFactor : 1;
        const double slowness = std::pow(endpoint.latencyFactor, latencyFactorWeight) * estimatePace(endpoint.reported, now) * warmUp;
        const double ms = initialBaseMs + (readMs + waitMs) * slowness + distancePenaltyMs(state, endpoint);
        return ms * (1 + maxHolderScoreJitter * Common::uniformUnit(state.random));
    }

    /// An endpoint that takes no more requests now.
    struct limited_candidate {
        Common::endpoint_id endpoint;
        double score { 0 };
    };

    /// @param limited receives the endpoints that take no more requests now.
    candidate findBest(scheduler_state& state, const placement_request& request, const placement_limits& limits, bool includesEjected, std::vector<limited_candidate>& limited, Common::instant now)
    {
        candidate best;
        const std::vector<prompt_holder> holders = findHolders(state, request, limits);
        limited.clear();
        for (auto& [id, endpoint] : state.endpoints) {
            if (!isEligible(state, endpoint, request, limits) || now < backoffEndOf(state, endpoint.facts))
                continue;
            if (!includesEjected && now < endpoint.ejectedUntil)
                continue;
            candidate next { &endpoint };
            next.uncachedTokens = expectUncachedTokens(endpoint, request, holders);
            next.predicted = predictMs(state, endpoint, request, next.uncachedTokens, now);
            next.score = holders.empty() ? scoreOf(state, next) : scoreAmongHolders(state, request, next, now);
            if (limits.limited.contains(id))
                limited.push_back({ id, next.score });
            else if (!best.endpoint || next.score < best.score)
                best = next;
        }
        return best;
    }

    /// @return whether what refuses the request at the endpoint was learned too long ago.
    bool isTrialDue(const scheduler_state& state, const candidate& tried, double leftMs, Common::instant now)
    {
        const endpoint_state& endpoint = *tried.endpoint;
        const auto service = state.learnedAt.find(endpoint.facts.service);
        if (service == state.learnedAt.end() || now - service->second >= trialInterval)
            return true;
        const bool isRefusedByOwnFactor = tried.learned <= leftMs * endpoint.latencyFactor;
        return isRefusedByOwnFactor && now - endpoint.learnedAt >= trialInterval;
    }

    /// @return the endpoint that would be the fastest without anything learned, among those where a trial is due and the
    /// request would then begin in time.
    candidate findTrial(scheduler_state& state, const placement_request& request, const placement_limits& limits, double leftMs, Common::instant now)
    {
        candidate best;
        for (auto& [id, endpoint] : state.endpoints) {
            const bool isOpen = isEligible(state, endpoint, request, limits) && now >= backoffEndOf(state, endpoint.facts) && now >= endpoint.ejectedUntil;
            if (!isOpen || limits.limited.contains(id))
                continue;
            candidate next { &endpoint };
            next.uncachedTokens = request.model ? countUncachedTokens(endpoint, *request.model) : 0;
            next.learned = predictMs(state, endpoint, request, next.uncachedTokens, now);
            next.predicted = assumeMs(state, endpoint, request, next.uncachedTokens, now);
            if (next.predicted > leftMs || next.learned <= leftMs || !isTrialDue(state, next, leftMs, now))
                continue;
            if (!best.endpoint || next.predicted < best.predicted)
                best = next;
        }
        if (best.endpoint)
            best.endpoint->learnedAt = state.learnedAt[request.service] = now;
        return best;
    }

    /// @return whether an endpoint is ready that only the regions of the limits rule out.
    bool isRuledOutByRegion(const scheduler_state& state, const placement_request& request, placement_limits limits)
    {
        const auto isAnyEligible = [&] {
            return std::any_of(state.endpoints.begin(), state.endpoints.end(), [&](const auto& entry) { return isEligible(state, entry.second, request, limits); });
        };
        if (!limits.onlyRegions || isAnyEligible())
            return false;
        limits.onlyRegions.reset();
        return isAnyEligible();
    }

    refusal refuseWithoutEndpoint(const scheduler_state& state, const placement_request& request, const placement_limits& limits, Common::instant now)
    {
        if (isRuledOutByRegion(state, request, limits))
            return { refusal_reason::OutsideHomes, retryAfterOutsideHomes };
        const milliseconds left = backoffLeft(state, request.service, now);
        if (left.count() > 0)
            return { refusal_reason::BackingOff, left };
        return { refusal_reason::NoEndpoint, minRetryAfter };
    }

    /// @return the endpoints whose score is lower than the given one.
    std::vector<Common::endpoint_id> selectBetter(const std::vector<limited_candidate>& limited, double score)
    {
        std::vector<Common::endpoint_id> better;
        for (const limited_candidate& item : limited) {
            if (item.score < score)
                better.push_back(item.endpoint);
        }
        return better;
    }

    placement record(scheduler_state& state, const candidate& chosen, const placement_request& request, Common::instant now)
    {
        const placement_id id { ++state.lastPlacement.value };
        placed_work placed;
        placed.uncachedTokens = chosen.uncachedTokens;
        placed.sent = now;
        placed.predictedMs = chosen.predicted;
        placed.learnedMs = chosen.learned;
        placed.serviceLatencyFactor = request.model ? serviceLatencyFactorOf(state, request.service) : 1;
        placed.tokensAhead = chosen.endpoint->waitingTokens + chosen.uncachedTokens;
        if (request.model) {
            placed.outputTokens = request.model->expectedOutputTokens.value_or(request.model->maxOutputTokens);
            recordParts(chosen.endpoint->cache, request.model->parts);
        }
        chosen.endpoint->waitingTokens += chosen.uncachedTokens;
        chosen.endpoint->placed.emplace(id, placed);
        return { chosen.endpoint->facts.id, chosen.endpoint->facts.started, chosen.endpoint->facts.address, id, chosen.predicted, chosen.uncachedTokens, chosen.expected, {} };
    }

    endpoint_state* find(scheduler_state& state, const Common::endpoint_id& id)
    {
        const auto found = state.endpoints.find(id);
        return found == state.endpoints.end() ? nullptr : &found->second;
    }

    void updateFactor(double& factor, double ratio, double rate, double maxFactor)
    {
        factor = std::clamp(factor * (1 - rate) + factor * ratio * rate, minLatencyFactor, maxFactor);
    }

    /// Drops what the service's and the endpoint's predictions have learned.
    void forgetLearned(scheduler_state& state, endpoint_state& endpoint)
    {
        endpoint.latencyFactor = 1;
        state.serviceLatencyFactors.erase(endpoint.facts.service);
        state.prefillRegressions.erase(endpoint.facts.service);
    }

    /// @param actualMs time to the first event, or the time waited without one if it already exceeds the prediction.
    void updateLatencyFactors(scheduler_state& state, endpoint_state& endpoint, const placed_work& placed, double actualMs, Common::instant now)
    {
        endpoint.learnedAt = state.learnedAt[endpoint.facts.service] = now;
        const double ratio = std::clamp(actualMs / std::max(1.0, placed.predictedMs), minLatencyFactor, maxLatencyFactor);
        updateFactor(endpoint.latencyFactor, ratio, endpointFactorRate, maxLatencyFactor);
        if (placed.tokensAhead <= 0)
            return;
        double& serviceFactor = state.serviceLatencyFactors.try_emplace(endpoint.facts.service, 1).first->second;
        // The ratio refers to the service factor that the prediction used; that factor may have changed since.
        updateFactor(serviceFactor, ratio * placed.serviceLatencyFactor / serviceFactor, serviceFactorRate, maxServiceFactor);
        // Both this factor and the regression scale the prediction. Decaying the factor towards one keeps them from
        // compensating for each other.
        serviceFactor += (1 - serviceFactor) * serviceFactorDecay;
    }

    void stopWaiting(endpoint_state& endpoint, placed_work& placed)
    {
        if (placed.hasBegun)
            return;
        placed.hasBegun = true;
        endpoint.waitingTokens = std::max(0.0, endpoint.waitingTokens - placed.uncachedTokens);
    }

    void eject(endpoint_state& endpoint, Common::instant now)
    {
        const uint32_t doublings = std::min(endpoint.consecutiveFailures - failuresBeforeEjection, 3U);
        const milliseconds pause = std::min(firstEjection * (1U << doublings), maxEjection);
        endpoint.ejectedUntil = now + pause;
    }

    /// Each further attempt at an endpoint that can't be reached costs a request the time to connect, so the pause doubles.
    void ejectUnreachable(endpoint_state& endpoint, Common::instant now)
    {
        const uint32_t doublings = std::min(endpoint.consecutiveUnreachable++, 3U);
        endpoint.ejectedUntil = now + std::min(unreachableEjection * (1U << doublings), maxEjection);
    }

} // namespace

void updateEndpoint(scheduler_state& state, const Fleet::endpoint& endpoint, Common::instant now)
{
    auto found = state.endpoints.find(endpoint.id);
    if (found != state.endpoints.end() && found->second.facts.started == endpoint.started && found->second.facts.address == endpoint.address) {
        found->second.facts = endpoint;
        return;
    }
    endpoint_state added;
    added.facts = endpoint;
    added.cache.capacityTokens = static_cast<uint64_t>(cacheShareOfMemory * assumedMemoryTokens);
    added.warmUpEnd = now + endpoint.warmUpLeft;
    state.endpoints[endpoint.id] = std::move(added);
}

void removeEndpoint(scheduler_state& state, const Common::endpoint_id& id)
{
    state.endpoints.erase(id);
}

bool mayUseZone(const location& own, const placement_limits& limits, const Common::zone_name& zone)
{
    if (limits.neverZones.contains(zone))
        return false;
    if (!limits.onlyRegions)
        return true;
    const auto region = own.regions.find(zone);
    return region != own.regions.end() && limits.onlyRegions->contains(region->second);
}

tl::expected<placement, refusal> place(scheduler_state& state, const placement_request& request, const placement_limits& limits, Common::instant now)
{
    std::vector<limited_candidate> limited;
    candidate best = findBest(state, request, limits, false, limited, now);
    // All eligible endpoints are ejected: using one of them is better than refusing the request.
    if (!best.endpoint && limited.empty())
        best = findBest(state, request, limits, true, limited, now);
    if (!best.endpoint && !limited.empty())
        return tl::unexpected(refusal { refusal_reason::Limited, minRetryAfter, selectBetter(limited, std::numeric_limits<double>::infinity()) });
    if (!best.endpoint)
        return tl::unexpected(refuseWithoutEndpoint(state, request, limits, now));
    const double left = toMs(request.deadline - now);
    const candidate trial = best.predicted > left ? findTrial(state, request, limits, left, now) : candidate {};
    if (trial.endpoint)
        best = trial;
    best.expected = expectMs(state, *best.endpoint, request, best.uncachedTokens, now);
    if (best.predicted > left) {
        const auto excess = milliseconds(static_cast<int64_t>(best.predicted - left));
        return tl::unexpected(refusal { refusal_reason::TooLate, std::max(minRetryAfter, excess), selectBetter(limited, best.score) });
    }
    placement placed = record(state, best, request, now);
    placed.betterLimited = selectBetter(limited, best.score);
    return placed;
}

double predictFirstEventMs(const scheduler_state& state, const placement_request& request, Common::instant now)
{
    std::optional<double> lowest;
    for (const auto& [id, endpoint] : state.endpoints) {
        if (!isEligible(state, endpoint, request, {}) || now < backoffEndOf(state, endpoint.facts) || now < endpoint.ejectedUntil)
            continue;
        const double uncachedTokens = request.model ? countUncachedTokens(endpoint, *request.model) : 0;
        const double predicted = predictMs(state, endpoint, request, uncachedTokens, now);
        lowest = std::min(predicted, lowest.value_or(predicted));
    }
    return lowest.value_or(0);
}

void recordFirstEvent(scheduler_state& state, const Common::endpoint_id& endpoint, placement_id id, Common::instant now)
{
    endpoint_state* found = find(state, endpoint);
    if (!found)
        return;
    const auto placed = found->placed.find(id);
    if (placed == found->placed.end() || placed->second.hasBegun)
        return;
    const double actualMs = toMs(now - placed->second.sent);
    if (actualMs < placed->second.learnedMs)
        forgetLearned(state, *found);
    updateLatencyFactors(state, *found, placed->second, actualMs, now);
    if (placed->second.uncachedTokens > 0)
        addPrefillSample(state.prefillRegressions[found->facts.service], placed->second.tokensAhead, actualMs, actualMs / placed->second.serviceLatencyFactor);
    placed->second.firstEventMs = actualMs;
    stopWaiting(*found, placed->second);
}

void recordEnd(scheduler_state& state, const Common::endpoint_id& endpoint, placement_id id, placement_end end, Common::instant now)
{
    endpoint_state* found = find(state, endpoint);
    if (!found)
        return;
    const auto placed = found->placed.find(id);
    if (placed == found->placed.end())
        return;
    const double waitedMs = toMs(now - placed->second.sent);
    if (!placed->second.hasBegun && end == placement_end::Abandoned && waitedMs > placed->second.predictedMs)
        updateLatencyFactors(state, *found, placed->second, waitedMs, now);
    stopWaiting(*found, placed->second);
    if (end == placement_end::Served && placed->second.uncachedTokens > 0)
        recordServedRequest(state.serviceLoads[found->facts.service], placed->second.uncachedTokens, placed->second.firstEventMs, waitedMs);
    found->placed.erase(placed);
    switch (end) {
    case placement_end::Served:
        found->consecutiveFailures = 0;
        found->consecutiveUnreachable = 0;
        return;
    case placement_end::Unreachable:
        ejectUnreachable(*found, now);
        return;
    case placement_end::Failed:
        if (++found->consecutiveFailures >= failuresBeforeEjection)
            eject(*found, now);
        return;
    case placement_end::NotRun:
    case placement_end::Abandoned:
        return;
    }
}

void readmitEndpoints(scheduler_state& state, const Common::service_name& service)
{
    for (auto& [id, endpoint] : state.endpoints) {
        if (endpoint.facts.service != service)
            continue;
        endpoint.ejectedUntil = {};
        endpoint.consecutiveUnreachable = 0;
    }
}

size_t countPlaced(const scheduler_state& state, const Common::endpoint_id& endpoint)
{
    const auto found = state.endpoints.find(endpoint);
    return found == state.endpoints.end() ? 0 : found->second.placed.size();
}

size_t countUnanswered(const scheduler_state& state, const Common::endpoint_id& endpoint)
{
    const auto found = state.endpoints.find(endpoint);
    if (found == state.endpoints.end())
        return 0;
    const auto& placed = found->second.placed;
    return static_cast<size_t>(std::count_if(placed.begin(), placed.end(), [](const auto& entry) { return !entry.second.hasBegun; }));
}

void recordReportedLoad(scheduler_state& state, const Common::endpoint_id& endpoint, const reported_load& load, Common::instant now)
{
    endpoint_state* found = find(state, endpoint);
    if (!found)
        return;
    found->reported = load_report { load, static_cast<uint32_t>(found->placed.size()), now };
    recordReport(state.serviceLoads[found->facts.service], *found->reported);
}

double engineMs(const scheduler_state& state, const Common::service_name& service, double uncachedTokens, const model_request& model)
{
    const auto found = state.prefillRegressions.find(service);
    const bool isMeasured = found != state.prefillRegressions.end() && found->second.unloadedMsPerToken > 0;
    const double perToken = isMeasured ? found->second.unloadedMsPerToken : initialMsPerToken;
    return uncachedTokens * perToken + model.expectedOutputTokens.value_or(model.maxOutputTokens) * msPerOutputToken;
}

milliseconds backoffLeft(const scheduler_state& state, const Common::service_name& service, Common::instant now)
{
    std::optional<Common::instant> earliest;
    for (const auto& [id, endpoint] : state.endpoints) {
        if (endpoint.facts.service != service || !isReady(state, endpoint.facts))
            continue;
        const Common::instant end = backoffEndOf(state, endpoint.facts);
        earliest = earliest ? std::min(*earliest, end) : end;
    }
    if (!earliest || *earliest <= now)
        return milliseconds(0);
    return std::chrono::ceil<milliseconds>(*earliest - now);
}

bool hasEndpoint(const scheduler_state& state, const Common::service_name& service, const placement_limits& limits)
{
    placement_request request;
    request.service = service;
    return std::any_of(state.endpoints.begin(), state.endpoints.end(), [&](const auto& entry) { return isEligible(state, entry.second, request, limits); });
}

const char* nameOf(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::NoEndpoint:
        return "no_endpoint";
    case refusal_reason::OutsideHomes:
        return "no_endpoint_in_home_region";
    case refusal_reason::BackingOff:
        return "backing_off";
    case refusal_reason::Limited:
        return "limited";
    case refusal_reason::TooLate:
        return "too_late";
    case refusal_reason::Quarantined:
        return "request_quarantined";
    }
    return "unknown";
}

} // namespace Scheduling
