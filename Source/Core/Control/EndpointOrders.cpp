#include "Control/EndpointOrders.h"

#include "Common/BootClock.h"
#include "Common/Log.h"

namespace Control {

namespace {

    constexpr milliseconds planInterval { 300 };
    /// Upper bound of the interval at which endpoints write their entries, which is about one second.
    constexpr milliseconds entryWriteInterval { 1300 };
    constexpr size_t maxLoggedAnswerBytes = 100;

    void logPlan(const endpoint_orders& ordering, Common::instant now)
    {
        nlohmann::json counts = nlohmann::json::object();
        for (const auto& [target, count] : ordering.planState.wanted)
            counts[target.zone.value + (target.isReclaimable ? "/reclaimable" : "/plain")] = count;
        nlohmann::json busy = nlohmann::json::object();
        for (const auto& [name, nodes] : ordering.demand.services) {
            for (const auto& [zone, level] : Scaling::demandByZone(ordering.demand, name, now))
                busy[name.value + "/" + zone.value] = level.value;
        }
        Common::logEvent(Common::log_level::Info, "endpoints_planned", { { "wanted", std::move(counts) }, { "busy_engines", std::move(busy) } });
    }

    void planAll(endpoint_orders& ordering, Common::instant now)
    {
        const store_call_intervals intervals = callIntervalsFor(ordering.context.nodes.size(), ordering.context.settings.facts.bounds);
        const Scaling::wanted_map before = ordering.planState.wanted;
        const Scaling::wanted_map wanted = Scaling::planServices(*ordering.context.catalog, ordering.context.endpoints.endpoints, ordering.demand, ordering.orders, ordering.planState, entryWriteInterval + intervals.endpoints.pause, now);
        if (wanted != before)
            logPlan(ordering, now);
    }

    Common::duration registrationTime(const endpoint_orders& ordering)
    {
        return entryWriteInterval + callIntervalsFor(ordering.context.nodes.size(), ordering.context.settings.facts.bounds).endpoints.pause;
    }

    void updateChangingSince(endpoint_orders& ordering, const std::set<Common::service_name>& changingVersion, Common::instant now)
    {
        std::erase_if(ordering.changingSince, [&](const auto& entry) {
            const bool hasEnded = !changingVersion.contains(entry.first);
            if (hasEnded)
                ordering.changedAt[entry.first] = now;
            return hasEnded;
        });
        for (const Common::service_name& service : changingVersion)
            ordering.changingSince.try_emplace(service, now);
    }

    /// At the end of a rollout the endpoints of one version stop. The plan starts anew from those that are left.
    void restartPlans(endpoint_orders& ordering, Common::instant now)
    {
        std::erase_if(ordering.changedAt, [&](const auto& entry) {
            const bool isListed = now - entry.second >= registrationTime(ordering);
            if (isListed)
                Scaling::restartPlan(ordering.planState, entry.first);
            return isListed;
        });
    }

    /// @return the plan without orders that would release endpoints of a service whose version is being changed. Until the
    /// new version's endpoints are known, and from the end of the rollout until those that stop are gone from the list, there are
    /// no orders for such a service.
    Scaling::wanted_map withoutUnsafeOrders(endpoint_orders& ordering, const std::set<Common::service_name>& changingVersion, Common::instant now)
    {
        const control_context& context = ordering.context;
        updateChangingSince(ordering, changingVersion, now);
        restartPlans(ordering, now);
        Scaling::wanted_map wanted = Scaling::withoutReleases(ordering.planState.wanted, *context.catalog, context.endpoints.endpoints, changingVersion);
        std::erase_if(wanted, [&](const auto& entry) {
            if (ordering.planState.evacuated.contains(entry.first.zone))
                return true;
            const auto changing = ordering.changingSince.find(entry.first.service);
            if (ordering.changedAt.contains(entry.first.service))
                return true;
            return changing != ordering.changingSince.end() && now - changing->second < registrationTime(ordering);
        });
        return wanted;
    }

    void handleOrderAnswer(endpoint_orders& ordering, const Scaling::order& order, const Http::transfer_answer& answer)
    {
        const Scaling::order_outcome outcome = ordering.context.settings.calls.dutyAnswer(answer);
        Common::logEvent(Common::log_level::Info, "endpoints_ordered", { { "service", order.service.value }, { "zone", order.zone.value }, { "reclaimable", order.isReclaimable }, { "desired", order.desired }, { "status", answer.status }, { "answer", answer.body.substr(0, maxLoggedAnswerBytes) } });
        // An order without an answer may still be executed later. The next order needs a higher token to override it.
        if (outcome == Scaling::order_outcome::Fenced || outcome == Scaling::order_outcome::Unknown)
            Lease::requireRenewal(ordering.context.lease, Common::bootClockNow());
        Scaling::applyOutcome(ordering.orders, outcome, Common::bootClockNow());
    }

} // namespace

void orderEndpoints(endpoint_orders& ordering, const std::set<Common::service_name>& changingVersion, Common::instant now)
{
    control_context& context = ordering.context;
    if (!context.catalog || !context.settings.facts.cloud.wantsScaling)
        return;
    if (now >= ordering.nextPlan) {
        ordering.nextPlan = now + planInterval;
        planAll(ordering, now);
    }
    const Scaling::wanted_map wanted = withoutUnsafeOrders(ordering, changingVersion, now);
    const auto order = Scaling::nextOrder(ordering.orders, wanted, now);
    if (!order)
        return;
    context.client.start(context.settings.calls.order(context.settings.facts.cloud.address, context.issuer(), *order),
        [&ordering, order](const Http::transfer_answer& answer) { handleOrderAnswer(ordering, *order, answer); });
}

} // namespace Control
