#include "Control/ControlContext.h"

#include "Common/BootClock.h"
#include "Common/Log.h"
#include "Common/Metrics.h"

namespace Control {

void control_context::call(Http::outgoing_request&& request, answer_handler onAnswer)
{
    Common::countMetric("filbertreel_store_calls_total");
    const Common::instant begun = Common::bootClockNow();
    client.start(std::move(request), [this, begun, onAnswer = std::move(onAnswer)](Http::transfer_answer&& answer) {
        Store::rows_answer parsed = settings.calls.storeAnswer(answer);
        parsed.receivedBytes = answer.body.size();
        parsed.elapsed = std::chrono::duration_cast<milliseconds>(Common::bootClockNow() - begun);
        observeEra(parsed.era);
        if (Store::isOutdated(parsed, era)) {
            Common::logEvent(Common::log_level::Warning, "store_answer_outdated", { { "era", parsed.era.value }, { "newest_era", era.value } });
            parsed.outcome = Store::call_outcome::Unknown;
        }
        if (parsed.outcome == Store::call_outcome::Done && parsed.now.value > 0)
            updateReading(storeClock, { parsed.now, Common::bootClockNow() });
        if (parsed.outcome != Store::call_outcome::Done)
            Common::countMetric("filbertreel_store_calls_failed_total");
        onAnswer(parsed);
    });
}

void control_context::observeEra(Store::store_era told)
{
    if (told <= era)
        return;
    Common::logEvent(Common::log_level::Warning, "store_era_risen", { { "from", era.value }, { "to", told.value } });
    era = told;
    if (onNewEra)
        onNewEra();
}

void control_context::commit(const Store::transaction& transaction, answer_handler onAnswer)
{
    call(settings.calls.transaction(storeAddress(), transaction), std::move(onAnswer));
}

const std::string& control_context::storeAddress() const
{
    return settings.facts.store.address;
}

Scaling::order_issuer control_context::issuer() const
{
    return { settings.self.node, lease.fence.value };
}

std::optional<Usage::true_time> control_context::trueTime(Common::instant now) const
{
    if (!storeClock)
        return {};
    std::vector<int64_t> offsets;
    for (const auto& [id, node] : nodes) {
        if (node.clockOffset)
            offsets.push_back(*node.clockOffset);
    }
    const auto offset = medianOffset(std::move(offsets));
    if (!offset)
        return {};
    return trueTimeAt(*storeClock, *offset, now);
}

} // namespace Control
