#include "Routing/Router.h"

#include <algorithm>

namespace Routing {

namespace {

    constexpr double sameRegionLinkSeconds = 0.001;
    constexpr double crossRegionLinkSeconds = 0.030;
    /// Factor on the time to the first token at an endpoint that has the prompt prefix in its cache.
    constexpr double cachedPrefixFactor = 0.3;
    /// Cost of transferring one typical answer across regions, billed by volume; in millionths of the currency unit.
    constexpr double crossRegionCostMicro = 40.0;
    constexpr double secondsPerHour = 3600.0;
    // The share of the target that a prediction may use; the rest is a margin for the prediction error.
    constexpr double initialTargetShare = 0.6;
    constexpr double minTargetShare = 0.25;
    constexpr double maxTargetShare = 0.85;
    constexpr double targetShareStep = 0.04;
    constexpr double toleratedLateShare = 0.02;
    /// Costs within this factor of the cheapest count as equal.
    constexpr double equalCostFactor = 1.1;
    /// A decision examines at most this many endpoints, starting at a random one if the service has more.
    constexpr size_t maxExaminedEndpoints = 64;
    // Weights of a new sample in a moving average.
    constexpr double smoothingFactor = 0.1;
    constexpr double outlierSmoothingFactor = 0.01;
    constexpr double errorSmoothingFactor = 0.15;
    /// A time to the first token above this multiple of the estimate is mostly unpredicted queueing.
    constexpr double maxPlausibleFactor = 2.0;
    constexpr double minFirstTokenSeconds = 0.001;
    constexpr double ejectionFailureRate = 0.5;
    constexpr std::chrono::seconds firstEjectionPeriod { 1 };
    constexpr uint32_t maxEjectionDoublings { 5 };
    constexpr std::chrono::seconds slowStartPeriod { 10 };
    constexpr size_t maxPrefixHolders = 8192;
    constexpr uint32_t shareScale = 1000;

    double linkSeconds(const endpoint_view& view)
    {
        return view.isInRegion ? sameRegionLinkSeconds : crossRegionLinkSeconds;
    }

    double occupiedSlots(const router_state& state, const endpoint_view& view)
    {
        // The report is outdated by the attempts that were sent since. This node counts its own;
        // the other nodes see the same report and are assumed to send as many each.
        return static_cast<double>(view.reportedRunning) + view.reportedWaiting + view.sentSinceReport * state.nodesPerEndpoint;
    }

    double queueSeconds(const router_state& state, const endpoint_view& view)
    {
        const double queuedAhead = occupiedSlots(state, view) + 1 - view.slots;
        return queuedAhead <= 0 ? 0 : queuedAhead / view.slots * view.answerSeconds;
    }

    candidate predict(const router_state& state, uint32_t index, const Common::endpoint_id* prefixHolder)
    {
        const endpoint_view& view = state.views[index];
        const bool holdsPrefix = prefixHolder && *prefixHolder == view.info->id;
        const double prefill = view.firstTokenSeconds * (holdsPrefix ? cachedPrefixFactor : 1.0);
        const double occupiedSeconds = view.answerSeconds - view.firstTokenSeconds + prefill;
        candidate item;
        item.index = index;
        item.predictionErrorSeconds = view.predictionErrorSeconds;
        item.firstTokenSeconds = linkSeconds(view) + queueSeconds(state, view) + prefill;
        item.costMicro = view.costPerSlotSecond * std::max(occupiedSeconds, 0.0);
        if (!view.isInRegion)
            item.costMicro += crossRegionCostMicro;
        return item;
    }

    bool isAvoided(const routing_request& request, const Common::endpoint_id& id)
    {
        return std::find(request.avoided.begin(), request.avoided.end(), id) != request.avoided.end();
    }

    bool isAdmissible(const endpoint_view& view, const routing_request& request, Common::instant now)
    {
        return view.ejectedUntil <= now && (request.avoided.empty() || !isAvoided(request, view.info->id));
    }

    /// A recently added endpoint passes with a probability that grows with its age: its cache is still cold, and full
    /// traffic would overload it. The probability is at least smoothingFactor.
    bool passesSlowStart(router_state& state, const endpoint_view& view, Common::instant now)
    {
        const auto age = now - view.firstSeen;
        if (age >= slowStartPeriod)
            return true;
        const double share = std::chrono::duration<double>(age) / std::chrono::duration<double>(slowStartPeriod);
        return Common::uniformUnit(state.random) < std::max(share, smoothingFactor);
    }

    /// Draws a version at random in proportion to the shares.
    /// @return the version that has to serve this request, or nothing if any version without a share may.
    std::optional<Common::version_name> drawVersion(router_state& state, const routing_request& request)
    {
        if (!request.versionShares)
            return std::nullopt;
        uint32_t point = Common::uniformBelow(state.random, shareScale);
        for (const auto& [name, share] : *request.versionShares) {
            if (point < share)
                return name;
            point -= share;
        }
        return std::nullopt;
    }

    bool matchesVersion(const routing_request& request, const std::optional<Common::version_name>& drawn, const Common::version_name& version)
    {
        if (drawn)
            return version == *drawn;
        return !request.versionShares->contains(version);
    }

    using index_list = std::vector<uint32_t>;

    /// Appends the admissible endpoints of a list to the scratch list.
    void collectAdmissible(router_state& state, const routing_request& request, const index_list& serviceIndexes, const std::optional<Common::version_name>& drawn, Common::instant now)
    {
        index_list& list = state.scratchIndexes;
        const auto count = static_cast<uint32_t>(serviceIndexes.size());
        const uint32_t start = count > maxExaminedEndpoints ? Common::uniformBelow(state.random, count) : 0;
        for (uint32_t step = 0; step < count && list.size() < maxExaminedEndpoints; ++step) {
            const uint32_t index = serviceIndexes[start + step < count ? start + step : start + step - count];
            const endpoint_view& view = state.views[index];
            if (isAdmissible(view, request, now) && (!request.versionShares || matchesVersion(request, drawn, view.info->version)))
                list.push_back(index);
        }
    }

    /// @return whether an endpoint of a version without a share is listed.
    bool hasVersionWithoutShare(const router_state& state, const routing_request& request, const index_list& serviceIndexes)
    {
        return std::any_of(serviceIndexes.begin(), serviceIndexes.end(), [&](uint32_t index) { return !request.versionShares->contains(state.views[index].info->version); });
    }

    /// Appends the admissible endpoints of all versions.
    void collectAllVersions(router_state& state, const routing_request& request, const index_list& serviceIndexes, Common::instant now)
    {
        routing_request anyVersion = request;
        anyVersion.versionShares = nullptr;
        collectAdmissible(state, anyVersion, serviceIndexes, std::nullopt, now);
    }

    /// Fills the scratch list with the admissible endpoints of the request's service, at most maxExaminedEndpoints.
    index_list& listAdmissible(router_state& state, const routing_request& request, Common::instant now)
    {
        index_list& list = state.scratchIndexes;
        list.clear();
        const auto found = state.byService.find(request.work->service);
        if (found == state.byService.end())
            return list;
        auto drawn = drawVersion(state, request);
        if (!drawn && request.currentVersion && !request.currentVersion->value.empty())
            drawn = *request.currentVersion;
        collectAdmissible(state, request, found->second, drawn, now);
        // If no instance of the drawn version is admissible, the others serve the request,
        // but never a version with a share of its own, as that may be zero.
        if (list.empty() && drawn)
            collectAdmissible(state, request, found->second, std::nullopt, now);
        // Shares hold versions back in favour of others. While no other is listed, they would only refuse requests.
        if (list.empty() && request.versionShares && !hasVersionWithoutShare(state, request, found->second))
            collectAllVersions(state, request, found->second, now);
        return list;
    }

    const Common::endpoint_id* findPrefixHolder(const router_state& state, uint64_t prefixHash)
    {
        const auto found = state.prefixHolders.find(prefixHash);
        return prefixHash != 0 && found != state.prefixHolders.end() ? &found->second : nullptr;
    }

    const candidate& fasterOfTwo(router_state& state, const std::vector<candidate>& items, const Common::endpoint_id* prefixHolder)
    {
        // Choosing the better of two random candidates keeps many nodes from all sending to the same idle endpoint.
        // The endpoint that holds the prompt prefix is always one of the two.
        const auto count = static_cast<uint32_t>(items.size());
        const auto holder = std::find_if(items.begin(), items.end(), [&](const candidate& item) {
            return prefixHolder && state.views[item.index].info->id == *prefixHolder;
        });
        const candidate& first = holder != items.end() ? *holder : items[Common::uniformBelow(state.random, count)];
        const candidate& second = items[Common::uniformBelow(state.random, count)];
        return second.firstTokenSeconds < first.firstTokenSeconds ? second : first;
    }

    double targetSeconds(const router_state& state, const Configuration::class_of_work& work)
    {
        const auto adapted = state.targetShares.find(work.name);
        const double share = adapted == state.targetShares.end() ? initialTargetShare : adapted->second;
        const bool isModel = work.kind == Configuration::class_kind::Model;
        const auto target = isModel ? work.firstTokenTarget : work.answerTarget;
        return std::chrono::duration<double>(target).count() * share;
    }

    /// Removes candidates that exceed the limit or cost clearly more than the cheapest one.
    /// @param cheapestCost in millionths of the currency unit.
    /// @param limitSeconds upper limit of the predicted time to the first token and its prediction error.
    void keepEquallyCheap(std::vector<candidate>& items, double cheapestCost, double limitSeconds)
    {
        std::erase_if(items, [&](const candidate& item) {
            return item.firstTokenSeconds + item.predictionErrorSeconds > limitSeconds || item.costMicro > cheapestCost * equalCostFactor;
        });
    }

    /// Adds the endpoint that holds the prompt prefix if the scratch list is full, since a full list may not contain it.
    void addPrefixHolder(router_state& state, const routing_request& request, Common::instant now)
    {
        const Common::endpoint_id* holder = findPrefixHolder(state, request.prefixHash);
        const endpoint_view* view = holder ? findView(state, *holder) : nullptr;
        const bool mayBeMissing = view && state.scratchIndexes.size() == maxExaminedEndpoints;
        if (mayBeMissing && view->info->service == request.work->service && !request.versionShares && isAdmissible(*view, request, now))
            state.scratchIndexes.push_back(static_cast<uint32_t>(view - state.views.data()));
    }

    routing_choice chooseCheapest(router_state& state, const routing_request& request, const index_list& list, Common::instant now)
    {
        const double limitSeconds = targetSeconds(state, *request.work);
        const Common::endpoint_id* holder = findPrefixHolder(state, request.prefixHash);
        std::vector<candidate>& candidates = state.scratchCandidates;
        candidates.clear();
        const candidate* fastest = nullptr;
        double cheapestCost = -1;
        candidates.reserve(list.size() + 1);
        for (const uint32_t index : list) {
            const candidate& item = candidates.emplace_back(predict(state, index, holder));
            if (!fastest || item.firstTokenSeconds < fastest->firstTokenSeconds)
                fastest = &item;
            const bool isCheapest = item.firstTokenSeconds + item.predictionErrorSeconds <= limitSeconds && (cheapestCost < 0 || item.costMicro < cheapestCost);
            if (isCheapest && passesSlowStart(state, state.views[index], now))
                cheapestCost = item.costMicro;
        }
        if (cheapestCost < 0)
            return { fastest->index, fastest->firstTokenSeconds, fastest->costMicro, false };
        keepEquallyCheap(candidates, cheapestCost, limitSeconds);
        const candidate& chosen = fasterOfTwo(state, candidates, holder);
        return { chosen.index, chosen.firstTokenSeconds, chosen.costMicro, true };
    }

    /// @return 0 in this node's zone, 1 in its region, 2 elsewhere.
    uint32_t distance(const router_state& state, const Endpoints::instance_info& info)
    {
        if (info.zone == state.zone)
            return 0;
        return info.region == state.region ? 1 : 2;
    }

    uint32_t chooseBaseline(router_state& state, const index_list& list)
    {
        if (state.chosenPolicy == policy::RoundRobin)
            return list[state.roundRobinNext++ % list.size()];
        if (state.chosenPolicy == policy::LeastReported) {
            return *std::min_element(list.begin(), list.end(), [&state](uint32_t left, uint32_t right) {
                const endpoint_view& leftView = state.views[left];
                const endpoint_view& rightView = state.views[right];
                return leftView.reportedRunning + leftView.reportedWaiting < rightView.reportedRunning + rightView.reportedWaiting;
            });
        }
        return *std::min_element(list.begin(), list.end(), [&state](uint32_t left, uint32_t right) {
            return distance(state, *state.views[left].info) < distance(state, *state.views[right].info);
        });
    }

    void eject(endpoint_view& view, Common::instant now)
    {
        const uint32_t doublings = std::min(view.ejections, maxEjectionDoublings);
        view.ejectedUntil = now + firstEjectionPeriod * (1U << doublings);
        view.ejections += 1;
        // After the ejection the endpoint starts at half the rate that ejects it, so fewer failures eject it again.
        view.failureRate = ejectionFailureRate / 2;
    }

    void updateAverage(double& estimate, double sample, double factor = smoothingFactor)
    {
        estimate += factor * (sample - estimate);
    }

} // namespace

void setEndpoints(router_state& state, const std::vector<Endpoints::instance_info>& usable, Common::instant now)
{
    std::vector<endpoint_view> next;
    next.reserve(usable.size());
    const bool isFirstList = state.views.empty();
    for (const Endpoints::instance_info& info : usable) {
        endpoint_view view;
        view.firstSeen = isFirstList ? now - slowStartPeriod : now;
        if (const endpoint_view* known = findView(state, info.id))
            view = *known;
        view.info = std::make_shared<const Endpoints::instance_info>(info);
        view.isInRegion = info.region == state.region;
        view.slots = std::max<uint32_t>(info.slots, 1);
        view.costPerSlotSecond = static_cast<double>(info.pricePerHour.value) / secondsPerHour / view.slots;
        next.push_back(std::move(view));
    }
    std::sort(next.begin(), next.end(), [](const endpoint_view& left, const endpoint_view& right) { return left.info->id < right.info->id; });
    state.views = std::move(next);
    state.byService.clear();
    for (uint32_t index = 0; index < state.views.size(); ++index)
        state.byService[state.views[index].info->service].push_back(index);
}

void applyLoadReport(router_state& state, const Endpoints::load_report& report)
{
    endpoint_view* view = findView(state, report.id);
    if (!view)
        return;
    view->reportedRunning = report.running;
    view->reportedWaiting = report.waiting;
    view->sentSinceReport = 0;
}

std::optional<routing_choice> chooseEndpoint(router_state& state, const routing_request& request, Common::instant now)
{
    const index_list& list = listAdmissible(state, request, now);
    if (list.empty())
        return std::nullopt;
    if (state.chosenPolicy == policy::CheapestInTarget) {
        addPrefixHolder(state, request, now);
        return chooseCheapest(state, request, list, now);
    }
    const uint32_t index = chooseBaseline(state, list);
    const candidate item = predict(state, index, nullptr);
    return routing_choice { index, item.firstTokenSeconds, item.costMicro, true };
}

void recordAttemptStart(router_state& state, const Common::endpoint_id& id, uint64_t prefixHash)
{
    endpoint_view* view = findView(state, id);
    if (!view)
        return;
    view->sentSinceReport += 1;
    view->inFlight += 1;
    if (prefixHash == 0)
        return;
    if (state.prefixHolders.size() >= maxPrefixHolders)
        state.prefixHolders.clear();
    state.prefixHolders[prefixHash] = id;
}

void recordAttemptEnd(router_state& state, const Common::endpoint_id& id, const attempt_outcome& outcome, Common::instant now)
{
    endpoint_view* view = findView(state, id);
    if (!view)
        return;
    view->inFlight -= view->inFlight > 0 ? 1 : 0;
    updateAverage(view->failureRate, outcome.isFailed ? 1.0 : 0.0);
    if (outcome.answerSeconds)
        updateAverage(view->answerSeconds, *outcome.answerSeconds);
    if (!outcome.isFailed)
        view->ejections = 0;
    if (view->failureRate >= ejectionFailureRate)
        eject(*view, now);
}

void updateFirstTokenEstimate(endpoint_view& view, double seconds, double predictedSeconds)
{
    updateAverage(view.predictionErrorSeconds, std::max(0.0, seconds - predictedSeconds), errorSmoothingFactor);
    const double predictedQueue = std::max(0.0, predictedSeconds - view.firstTokenSeconds);
    const double withoutQueue = std::max(minFirstTokenSeconds, seconds - predictedQueue);
    // A much later first token was queued behind other requests. That is part of the prediction error,
    // so it has little weight in the estimate of the prefill time.
    const bool isPlausible = withoutQueue < view.firstTokenSeconds * maxPlausibleFactor;
    updateAverage(view.firstTokenSeconds, withoutQueue, isPlausible ? smoothingFactor : outlierSmoothingFactor);
}

void adaptTargetShare(router_state& state, const Common::class_name& work, bool isLate)
{
    double& share = state.targetShares.try_emplace(work, initialTargetShare).first->second;
    share += isLate ? -targetShareStep : targetShareStep * toleratedLateShare / (1 - toleratedLateShare);
    share = std::clamp(share, minTargetShare, maxTargetShare);
}

endpoint_view* findView(router_state& state, const Common::endpoint_id& id)
{
    const auto found = std::lower_bound(state.views.begin(), state.views.end(), id,
        [](const endpoint_view& view, const Common::endpoint_id& wanted) { return view.info->id < wanted; });
    return found != state.views.end() && found->info->id == id ? &*found : nullptr;
}

} // namespace Routing
