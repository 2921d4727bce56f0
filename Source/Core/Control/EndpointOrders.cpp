#include "Control/EndpointOrders.h"

#include "Common/BootClock.h"
#include "Common/Log.h"

namespace Control {

namespace {

    constexpr milliseconds planInterval { 300 };
    /// Endpoints write their entries about every second.
    constexpr milliseconds entryInterval { 1300 };
    constexpr size_t loggedAnswerBytes = 100;

    void logPlan(const endpoint_orders& item, Common::instant now)
    {
        nlohmann::json numbers = nlohmann::json::object();
        for (const auto& [target, count] : item.memory.wanted)
            numbers[target.zone.value + (target.isReclaimable ? "/reclaimable" : "/plain")] = count;
        nlohmann::json busy = nlohmann::json::object();
        for (const auto& [name, nodes] : item.demand.services) {
            for (const auto& [zone, level] : Scaling::demandByZone(item.demand, name, now))
                busy[name.value + "/" + zone.value] = level.value;
        }
        Common::logEvent(Common::log_level::Info, "endpoints_planned", { { "wanted", std::move(numbers) }, { "busy_engines", std::move(busy) } });
    }

    void planAll(endpoint_orders& item, Common::instant now)
    {
        const store_pace pace = paceFor(item.context.nodes.size(), item.context.settings.facts.bounds);
        const Scaling::wanted_map before = item.memory.wanted;
        const Scaling::wanted_map wanted = Scaling::planServices(*item.context.catalog, item.context.endpoints.endpoints, item.demand, item.orders, item.memory, entryInterval + pace.endpointPause, now);
        if (wanted != before)
            logPlan(item, now);
    }

    void takeOrderAnswer(endpoint_orders& item, const Scaling::order& order, const Http::transfer_answer& answer)
    {
        const Scaling::order_outcome outcome = item.context.settings.calls.dutyAnswer(answer);
        Common::logEvent(Common::log_level::Info, "endpoints_ordered", { { "service", order.service.value }, { "zone", order.zone.value }, { "reclaimable", order.isReclaimable }, { "desired", order.desired }, { "status", answer.status }, { "answer", answer.body.substr(0, loggedAnswerBytes) } });
        // An order of unknown fate may be carried out later: the next one needs a higher token to prevail.
        if (outcome == Scaling::order_outcome::Fenced || outcome == Scaling::order_outcome::Unknown)
            Lease::raiseFence(item.context.lease, Common::bootClockNow());
        Scaling::applyOutcome(item.orders, outcome, Common::bootClockNow());
    }

} // namespace

void orderEndpoints(endpoint_orders& item, Common::instant now)
{
    control_context& context = item.context;
    if (!context.catalog || !context.settings.facts.cloud.wantsScaling)
        return;
    if (now >= item.nextPlan) {
        item.nextPlan = now + planInterval;
        planAll(item, now);
    }
    const auto order = Scaling::nextOrder(item.orders, item.memory.wanted, now);
    if (!order)
        return;
    context.client.start(context.settings.calls.order(context.settings.facts.cloud.address, context.giver(), *order),
        [&item, order](const Http::transfer_answer& answer) { takeOrderAnswer(item, *order, answer); });
}

} // namespace Control
