#include "Configuration/VersionChain.h"

#include <algorithm>

namespace Configuration {

namespace {

    using actions = std::vector<chain_action>;

    constexpr int retryAfterSeconds = 2;

    Common::failure storeUnavailable(Common::run_state run)
    {
        return { Common::failure_kind::StoreUnavailable, "configuration", run, retryAfterSeconds };
    }

    void publish(chain_state& state, actions& output)
    {
        output.push_back(publish_configuration { std::make_shared<const configuration>(state.current) });
    }

    /// Answers the first proposal and removes it.
    void answer(chain_state& state, actions& output, Common::result<change> outcome)
    {
        pending_proposal finished = std::move(state.waiting.front());
        state.waiting.pop_front();
        state.phase = chain_phase::Idle;
        output.push_back(answer_operator { finished.request.operatorToken, std::move(outcome), std::move(finished.concurrentChanges) });
    }

    bool touchesSameObject(const change& left, const change& right)
    {
        return left.kind == right.kind && left.subject == right.subject;
    }

    /// @return whether another change to the same object was accepted since the version the proposal is based on.
    bool hasConflict(const pending_proposal& pending)
    {
        return std::any_of(pending.concurrentChanges.begin(), pending.concurrentChanges.end(),
            [&pending](const change& item) { return touchesSameObject(item, pending.request.item); });
    }

    void answerConflict(chain_state& state, actions& output)
    {
        const std::string subject = state.waiting.front().request.item.subject;
        const Common::failure conflict { Common::failure_kind::ConfigurationConflict, subject, Common::run_state::NotRun, 0 };
        answer(state, output, tl::unexpected(conflict));
    }

    /// Collects the changes between the version that the proposal is based on and the current one.
    /// @return false when this node no longer keeps all of them.
    bool collectConcurrentChanges(const chain_state& state, pending_proposal& pending)
    {
        const uint64_t seen = pending.request.seenVersion.value;
        if (seen >= state.current.version.value)
            return true;
        if (state.recentChanges.empty() || state.recentChanges.front().version.value > seen + 1)
            return false;
        for (const change& item : state.recentChanges) {
            if (item.version.value > seen)
                pending.concurrentChanges.push_back(item);
        }
        return true;
    }

    /// Answers proposals that have a conflict, then writes the next one if no write is in flight.
    void startNextProposal(chain_state& state, actions& output)
    {
        while (state.phase == chain_phase::Idle && !state.waiting.empty() && hasConflict(state.waiting.front()))
            answerConflict(state, output);
        if (state.phase != chain_phase::Idle || state.waiting.empty())
            return;
        change& item = state.waiting.front().request.item;
        item.version = { state.current.version.value + 1 };
        state.phase = chain_phase::Writing;
        output.push_back(write_change { item });
    }

    /// Reads the rows after the current version, unless such a read is under way.
    void requestNewerChanges(chain_state& state, Common::instant now, actions& output)
    {
        if (state.isReading && now < state.readDeadline)
            return;
        state.isReading = true;
        state.readDeadline = now + readTimeLimit;
        output.push_back(read_changes { state.current.version });
    }

    /// Applies the changes that directly follow the current version; ignores older ones and those after a gap.
    /// @return the applied changes.
    std::vector<change> applyNextChanges(chain_state& state, std::vector<change>&& changes)
    {
        std::vector<change> applied;
        for (change& item : changes) {
            if (!applyChange(state.current, item))
                continue;
            for (pending_proposal& pending : state.waiting) {
                if (item.version > pending.request.seenVersion && item.token != pending.request.item.token)
                    pending.concurrentChanges.push_back(item);
            }
            state.recentChanges.push_back(item);
            if (state.recentChanges.size() > maxRecentChanges)
                state.recentChanges.pop_front();
            applied.push_back(std::move(item));
        }
        return applied;
    }

    /// Updates the proposal in flight after changes were applied: accepted if its own change is among them, a conflict if
    /// another author's change has changed the same object, otherwise to be written again with the next version.
    void resolveProposalInFlight(chain_state& state, const std::vector<change>& applied, actions& output)
    {
        if (state.phase == chain_phase::Idle || state.waiting.empty())
            return;
        pending_proposal& pending = state.waiting.front();
        // The proposal's row may be read back, or sent by a peer, before the reply of its write arrives.
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
        if (hasConflict(pending)) {
            answerConflict(state, output);
            return;
        }
        state.phase = chain_phase::Idle;
    }

    /// Applies changes, makes the new configuration effective and sends the applied changes on to the peers.
    void applyAndPublish(chain_state& state, std::vector<change>&& changes, actions& output)
    {
        std::vector<change> applied = applyNextChanges(state, std::move(changes));
        if (!applied.empty())
            publish(state, output);
        // The change of the proposal in flight may come from reading back after a lost reply or from a peer.
        resolveProposalInFlight(state, applied, output);
        if (!applied.empty())
            output.push_back(tell_peers { std::move(applied) });
    }

    void handle(chain_state& state, proposal&& message, Common::instant now, actions& output)
    {
        if (state.waiting.size() >= maxWaitingProposals) {
            const Common::failure overloaded { Common::failure_kind::Overloaded, "configuration", Common::run_state::NotRun, retryAfterSeconds };
            output.push_back(answer_operator { message.operatorToken, tl::unexpected(overloaded), {} });
            return;
        }
        if (message.seenVersion.value == 0)
            message.seenVersion = state.current.version;
        pending_proposal pending { std::move(message), now + proposalTimeLimit, false, 0, {} };
        const bool hasAllChanges = collectConcurrentChanges(state, pending);
        if (!hasAllChanges) {
            // The seen version is too old to check for conflicts; the operator has to review the current configuration.
            const Common::failure conflict { Common::failure_kind::ConfigurationConflict, pending.request.item.subject, Common::run_state::NotRun, 0 };
            output.push_back(answer_operator { pending.request.operatorToken, tl::unexpected(conflict), {} });
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
            std::vector<change> accepted { pending.request.item };
            state.phase = chain_phase::ReadingBack;
            applyAndPublish(state, std::move(accepted), output);
            break;
        }
        case Platform::table_outcome::Unavailable:
            // Nothing was written. A tick resets the phase, which sends the write again, up to maxRefusedWrites times.
            state.phase = chain_phase::ReadingBack;
            pending.refusedWrites += 1;
            if (pending.refusedWrites >= maxRefusedWrites && !pending.mayBeWritten)
                answer(state, output, tl::unexpected(storeUnavailable(Common::run_state::NotRun)));
            break;
        case Platform::table_outcome::Unknown:
            pending.mayBeWritten = true;
            [[fallthrough]];
        case Platform::table_outcome::ConditionFailed:
            // The row may be another author's, or this proposal's own from a write whose reply was lost. Reading it shows which.
            state.phase = chain_phase::ReadingBack;
            requestNewerChanges(state, now, output);
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
        applyAndPublish(state, std::move(message.changes), output);
        if (isFirst && isEmpty)
            publish(state, output);
        if (!isEmpty)
            requestNewerChanges(state, now, output);
    }

    void handle(chain_state& state, peer_changes&& message, Common::instant, actions& output)
    {
        const bool isGap = !message.changes.empty() && message.changes.front().version.value > state.current.version.value + 1;
        if (isGap) {
            output.push_back(pull_from_peers { state.current.version });
            return;
        }
        state.isLoaded = state.isLoaded || !message.changes.empty();
        applyAndPublish(state, std::move(message.changes), output);
    }

    void handle(chain_state& state, peer_snapshot&& message, Common::instant, actions& output)
    {
        // A node never goes back to a lower version.
        if (message.state.version <= state.current.version)
            return;
        state.current = std::move(message.state);
        state.recentChanges.clear();
        state.isLoaded = true;
        publish(state, output);
    }

    void handle(chain_state& state, snapshot_read&& message, Common::instant now, actions& output)
    {
        state.hasReadSnapshot = state.hasReadSnapshot || message.outcome == Platform::table_outcome::Done;
        if (message.state)
            handle(state, peer_snapshot { std::move(*message.state) }, now, output);
        requestNewerChanges(state, now, output);
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
        const bool hasAll = !state.recentChanges.empty() && state.recentChanges.front().version.value <= message.after.value + 1;
        if (!hasAll)
            reply.snapshot = std::make_shared<const configuration>(state.current);
        for (const change& item : state.recentChanges) {
            if (hasAll && item.version > message.after)
                reply.changes.push_back(item);
        }
        output.push_back(std::move(reply));
    }

    /// Fails proposals whose time limit has passed.
    void failExpiredProposals(chain_state& state, Common::instant now, actions& output)
    {
        while (!state.waiting.empty() && state.waiting.front().deadline <= now) {
            const bool mayBeWritten = state.waiting.front().mayBeWritten || state.phase == chain_phase::Writing;
            const auto run = mayBeWritten ? Common::run_state::Unknown : Common::run_state::NotRun;
            answer(state, output, tl::unexpected(storeUnavailable(run)));
        }
    }

    void handle(chain_state& state, chain_tick&&, Common::instant now, actions& output)
    {
        failExpiredProposals(state, now, output);
        if (state.phase == chain_phase::ReadingBack && state.waiting.front().mayBeWritten)
            requestNewerChanges(state, now, output);
        else if (state.phase == chain_phase::ReadingBack)
            state.phase = chain_phase::Idle;
        if (now < state.nextPoll)
            return;
        state.nextPoll = now + (state.isLoaded ? pollInterval : pullInterval);
        if (state.hasReadSnapshot)
            requestNewerChanges(state, now, output);
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
    startNextProposal(state, output);
    return output;
}

} // namespace Configuration
