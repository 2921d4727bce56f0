#include "Configuration/VersionChain.h"

#include <algorithm>

namespace Configuration {

namespace {

    using actions = std::vector<chain_action>;

    constexpr int comeBackSeconds = 2;

    Common::failure storeUnavailable(Common::run_state run)
    {
        return { Common::failure_kind::StoreUnavailable, "configuration", run, comeBackSeconds };
    }

    void publish(chain_state& state, actions& output)
    {
        output.push_back(publish_configuration { std::make_shared<const configuration>(state.current) });
    }

    void answer(chain_state& state, actions& output, Common::result<change> outcome)
    {
        pending_proposal done = std::move(state.waiting.front());
        state.waiting.pop_front();
        state.phase = chain_phase::Idle;
        output.push_back(answer_operator { done.request.operatorToken, std::move(outcome), std::move(done.seenMeanwhile) });
    }

    bool touchesSameObject(const change& left, const change& right)
    {
        return left.kind == right.kind && left.subject == right.subject;
    }

    bool isOvertaken(const pending_proposal& pending)
    {
        return std::any_of(pending.seenMeanwhile.begin(), pending.seenMeanwhile.end(),
            [&pending](const change& item) { return touchesSameObject(item, pending.request.item); });
    }

    void answerConflict(chain_state& state, actions& output)
    {
        const std::string subject = state.waiting.front().request.item.subject;
        const Common::failure conflict { Common::failure_kind::ConfigurationConflict, subject, Common::run_state::NotRun, 0 };
        answer(state, output, tl::unexpected(conflict));
    }

    /// What others changed between the version that the operator decided on and the present one.
    /// @return false when this node no longer knows all of it.
    bool gatherSeenMeanwhile(const chain_state& state, pending_proposal& pending)
    {
        const uint64_t seen = pending.request.seenVersion.value;
        if (seen >= state.current.version.value)
            return true;
        if (state.recent.empty() || state.recent.front().version.value > seen + 1)
            return false;
        for (const change& item : state.recent) {
            if (item.version.value > seen)
                pending.seenMeanwhile.push_back(item);
        }
        return true;
    }

    void beginNext(chain_state& state, actions& output)
    {
        while (state.phase == chain_phase::Idle && !state.waiting.empty() && isOvertaken(state.waiting.front()))
            answerConflict(state, output);
        if (state.phase != chain_phase::Idle || state.waiting.empty())
            return;
        change& item = state.waiting.front().request.item;
        item.version = { state.current.version.value + 1 };
        state.phase = chain_phase::Writing;
        output.push_back(write_change { item });
    }

    void readNewer(chain_state& state, Common::instant now, actions& output)
    {
        if (state.isReading && now < state.readingUntil)
            return;
        state.isReading = true;
        state.readingUntil = now + readTimeLimit;
        output.push_back(read_changes { state.current.version });
    }

    /// Applies what follows on the present version; drops what is old or after a gap.
    std::vector<change> applyFollowing(chain_state& state, std::vector<change>&& changes)
    {
        std::vector<change> applied;
        for (change& item : changes) {
            if (!applyChange(state.current, item))
                continue;
            for (pending_proposal& pending : state.waiting) {
                if (item.version > pending.request.seenVersion && item.token != pending.request.item.token)
                    pending.seenMeanwhile.push_back(item);
            }
            state.recent.push_back(item);
            if (state.recent.size() > maxRecentChanges)
                state.recent.pop_front();
            applied.push_back(std::move(item));
        }
        return applied;
    }

    /// After the chain has grown under a proposal in flight: won, lost to another author, or to be tried again.
    void settleInFlight(chain_state& state, const std::vector<change>& applied, actions& output)
    {
        if (state.phase == chain_phase::Idle || state.waiting.empty())
            return;
        pending_proposal& pending = state.waiting.front();
        // Our row may be read, or pushed by a peer, before the reply of its write arrives.
        for (const change& item : applied) {
            if (item.token == pending.request.item.token) {
                answer(state, output, item);
                if (item.version.value % snapshotInterval == 0)
                    output.push_back(write_snapshot { std::make_shared<const configuration>(state.current) });
                return;
            }
        }
        if (state.phase != chain_phase::ReadingBack)
            return;
        if (isOvertaken(pending)) {
            answerConflict(state, output);
            return;
        }
        state.phase = chain_phase::Idle;
    }

    void absorb(chain_state& state, std::vector<change>&& changes, actions& output)
    {
        std::vector<change> applied = applyFollowing(state, std::move(changes));
        if (!applied.empty())
            publish(state, output);
        // A row read back after a lost reply settles the proposal; a peer's push of it does as well.
        settleInFlight(state, applied, output);
        if (!applied.empty())
            output.push_back(tell_peers { std::move(applied) });
    }

    void handle(chain_state& state, proposal&& message, Common::instant now, actions& output)
    {
        if (state.waiting.size() >= maxWaitingProposals) {
            const Common::failure full { Common::failure_kind::Overloaded, "configuration", Common::run_state::NotRun, comeBackSeconds };
            output.push_back(answer_operator { message.operatorToken, tl::unexpected(full), {} });
            return;
        }
        if (message.seenVersion.value == 0)
            message.seenVersion = state.current.version;
        pending_proposal pending { std::move(message), now + proposalTimeLimit, false, 0, {} };
        const bool isKnown = gatherSeenMeanwhile(state, pending);
        if (!isKnown) {
            // The operator decided on a version too old to compare with: it has to be looked at again.
            const Common::failure stale { Common::failure_kind::ConfigurationConflict, pending.request.item.subject, Common::run_state::NotRun, 0 };
            output.push_back(answer_operator { pending.request.operatorToken, tl::unexpected(stale), {} });
            return;
        }
        state.waiting.push_back(std::move(pending));
    }

    void handle(chain_state& state, write_done&& message, Common::instant now, actions& output)
    {
        if (state.phase != chain_phase::Writing || state.waiting.front().request.item.token != message.token)
            return;
        pending_proposal& pending = state.waiting.front();
        switch (message.outcome) {
        case Platform::table_outcome::Done: {
            std::vector<change> won { pending.request.item };
            state.phase = chain_phase::ReadingBack;
            absorb(state, std::move(won), output);
            break;
        }
        case Platform::table_outcome::Unavailable:
            // Nothing was written; the tick writes again, a few times.
            state.phase = chain_phase::ReadingBack;
            pending.refusedWrites += 1;
            if (pending.refusedWrites >= maxRefusedWrites && !pending.mayBeWritten)
                answer(state, output, tl::unexpected(storeUnavailable(Common::run_state::NotRun)));
            break;
        case Platform::table_outcome::Unknown:
            pending.mayBeWritten = true;
            [[fallthrough]];
        case Platform::table_outcome::ConditionFailed:
            // Another author's row, or our own from a write whose reply was lost: the rows tell.
            state.phase = chain_phase::ReadingBack;
            readNewer(state, now, output);
            break;
        }
    }

    void handle(chain_state& state, rows_read&& message, Common::instant now, actions& output)
    {
        state.isReading = false;
        if (message.outcome != Platform::table_outcome::Done)
            return;
        const bool isFirst = !state.isLoaded;
        state.isLoaded = true;
        const bool isEmpty = message.changes.empty();
        absorb(state, std::move(message.changes), output);
        if (isFirst && isEmpty)
            publish(state, output);
        if (!isEmpty)
            readNewer(state, now, output);
    }

    void handle(chain_state& state, peer_changes&& message, Common::instant, actions& output)
    {
        const bool isGap = !message.changes.empty() && message.changes.front().version.value > state.current.version.value + 1;
        if (isGap) {
            output.push_back(pull_from_peers { state.current.version });
            return;
        }
        state.isLoaded = state.isLoaded || !message.changes.empty();
        absorb(state, std::move(message.changes), output);
    }

    void handle(chain_state& state, peer_snapshot&& message, Common::instant, actions& output)
    {
        // A node only moves to a higher version.
        if (message.state.version <= state.current.version)
            return;
        state.current = std::move(message.state);
        state.recent.clear();
        state.isLoaded = true;
        publish(state, output);
    }

    void handle(chain_state& state, snapshot_read&& message, Common::instant now, actions& output)
    {
        state.hasReadSnapshot = state.hasReadSnapshot || message.outcome == Platform::table_outcome::Done;
        if (message.state)
            handle(state, peer_snapshot { std::move(*message.state) }, now, output);
        readNewer(state, now, output);
    }

    void handle(chain_state& state, peer_is_ahead&& message, Common::instant, actions& output)
    {
        if (message.version > state.current.version)
            output.push_back(pull_from_peers { state.current.version });
    }

    void handle(chain_state& state, peer_pull&& message, Common::instant, actions& output)
    {
        if (message.after >= state.current.version)
            return;
        answer_peer reply { message.peer, {}, nullptr };
        const bool hasAll = !state.recent.empty() && state.recent.front().version.value <= message.after.value + 1;
        if (!hasAll)
            reply.snapshot = std::make_shared<const configuration>(state.current);
        for (const change& item : state.recent) {
            if (hasAll && item.version > message.after)
                reply.changes.push_back(item);
        }
        output.push_back(std::move(reply));
    }

    void expire(chain_state& state, Common::instant now, actions& output)
    {
        while (!state.waiting.empty() && state.waiting.front().deadline <= now) {
            const bool mayBeWritten = state.waiting.front().mayBeWritten || state.phase == chain_phase::Writing;
            const auto run = mayBeWritten ? Common::run_state::Unknown : Common::run_state::NotRun;
            answer(state, output, tl::unexpected(storeUnavailable(run)));
        }
    }

    void handle(chain_state& state, chain_tick&&, Common::instant now, actions& output)
    {
        expire(state, now, output);
        if (state.phase == chain_phase::ReadingBack && state.waiting.front().mayBeWritten)
            readNewer(state, now, output);
        else if (state.phase == chain_phase::ReadingBack)
            state.phase = chain_phase::Idle;
        if (now < state.nextPoll)
            return;
        state.nextPoll = now + (state.isLoaded ? pollInterval : pullInterval);
        if (state.hasReadSnapshot)
            readNewer(state, now, output);
        else
            output.push_back(read_snapshot {});
        if (!state.isLoaded)
            output.push_back(pull_from_peers { state.current.version });
    }

} // namespace

std::vector<chain_action> stepChain(chain_state& state, chain_message&& message, Common::instant now)
{
    actions output;
    std::visit([&](auto& item) { handle(state, std::move(item), now, output); }, message);
    beginNext(state, output);
    return output;
}

} // namespace Configuration
