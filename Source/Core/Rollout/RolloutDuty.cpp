#include "Rollout/RolloutDuty.h"

#include "Common/Log.h"

namespace Rollout {

namespace {

    constexpr size_t ringCapacity = 16384;
    constexpr std::chrono::milliseconds tickInterval { 200 };

    template <typename... handlers>
    struct overloaded : handlers... {
        using handlers::operator()...;
    };

    template <typename... handlers>
    overloaded(handlers...) -> overloaded<handlers...>;

} // namespace

rollout_duty::rollout_duty(rollout_outlets outlets)
    : m_outlets(std::move(outlets))
    , m_inbox(ringCapacity)
{
}

bool rollout_duty::submit(rollout_message&& message)
{
    return m_inbox.push(message);
}

void rollout_duty::run()
{
    std::vector<rollout_message> batch;
    while (m_inbox.waitInto(tickInterval, batch)) {
        for (rollout_message& message : batch)
            dispatch(std::move(message));
        dispatch(rollout_tick {});
    }
}

void rollout_duty::stop()
{
    m_inbox.stop();
}

void rollout_duty::dispatch(rollout_message&& message)
{
    const Common::wall_time now { Common::wallClockMilliseconds() };
    for (const rollout_action& action : stepRollout(m_state, std::move(message), now)) {
        std::visit(overloaded {
                       [this](const publish_shares& item) { m_outlets.publishShares(item); },
                       [this](const broadcast_evidence& item) { m_outlets.broadcastEvidence(item); },
                       [this](const broadcast_latch& item) { m_outlets.broadcastLatch(item); },
                       [this](const propose_end& item) { m_outlets.proposeEnd(item); },
                   },
            action);
    }
}

} // namespace Rollout
