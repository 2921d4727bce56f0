#include "Gateway/InputBudget.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

    constexpr size_t bytesPerMegabyte = size_t { 1024 } * 1024;
    /// A body that is passed on is held up to three times for a while, and responses have a budget of their own.
    constexpr size_t partsOfMemory = 8;
    /// Each request in progress also needs a connection to an endpoint.
    constexpr size_t partsOfDescriptors = 2;
    /// For connections to the store, other nodes and the directory's callers, and for files.
    constexpr size_t otherDescriptors = 32;
    constexpr size_t largestRequestsThatFit = 2;
    /// A caller that sends nothing for this time in the middle of a request makes no progress.
    constexpr std::chrono::milliseconds stallTime { 2000 };

    bool isUnread(const input_holding& item)
    {
        return item.stage == input_stage::Reading || item.stage == input_stage::Unused;
    }

    bool isStalled(const input_holding& item, Common::instant now)
    {
        return isUnread(item) && now - item.progressAt >= stallTime;
    }

    /// Large requests in progress leave room for small ones: a request up to this part of the bound is small, and small ones
    /// may exceed the bound by a quarter.
    constexpr size_t smallPartsOfBound = 64;
    constexpr size_t extraPartsForSmall = 4;

    bool isSmall(const input_holding& item, const input_bounds& bounds)
    {
        return item.bytes <= bounds.bytes / smallPartsOfBound;
    }

    /// @return whether the first is to be refused before the second.
    bool isRefusedBefore(const input_holding& first, const input_holding& second, const input_bounds& bounds, Common::instant now)
    {
        if (isSmall(first, bounds) != isSmall(second, bounds))
            return !isSmall(first, bounds);
        if (isStalled(first, now) != isStalled(second, now))
            return isStalled(first, now);
        if (first.bytes != second.bytes)
            return first.bytes > second.bytes;
        return first.progressAt < second.progressAt;
    }

    /// @return rank of a connection for being closed; the lowest first.
    int closingRank(const input_holding& item, Common::instant now)
    {
        if (isStalled(item, now))
            return 0;
        return item.stage == input_stage::Idle ? 1 : 2;
    }

    template <typename filter, typename order>
    std::optional<connection_id> choose(const input_budget& budget, filter isCandidate, order comesBefore)
    {
        const std::pair<const uint64_t, input_holding>* chosen = nullptr;
        for (const auto& entry : budget.holdings) {
            if (isCandidate(entry.second) && (!chosen || comesBefore(entry.second, chosen->second)))
                chosen = &entry;
        }
        return chosen ? std::optional(connection_id { chosen->first }) : std::nullopt;
    }

} // namespace

input_bounds makeInputBounds(const Fleet::machine_limits& machine, const Catalog::input_limits& limits)
{
    const size_t forRequests = machine.memoryMegabytes * bytesPerMegabyte / partsOfMemory;
    const size_t largestRequest = limits.bodyBytes + limits.headerBytes;
    const size_t forCallers = machine.fileDescriptors - std::min<size_t>(machine.fileDescriptors, otherDescriptors);
    return { std::max(forRequests, largestRequestsThatFit * largestRequest), std::max<size_t>(1, forCallers / partsOfDescriptors) };
}

void recordInput(input_budget& budget, connection_id id, input_stage stage, size_t bytes, Common::instant now)
{
    input_holding& item = budget.holdings[id.value];
    if (item.stage != stage || item.bytes != bytes || item.progressAt == Common::instant {})
        item.progressAt = now;
    budget.totalBytes = budget.totalBytes - item.bytes + bytes;
    item.stage = stage;
    item.bytes = bytes;
}

void releaseInput(input_budget& budget, connection_id id)
{
    const auto found = budget.holdings.find(id.value);
    if (found == budget.holdings.end())
        return;
    budget.totalBytes -= found->second.bytes;
    budget.holdings.erase(found);
}

std::optional<connection_id> chooseExcessRequest(const input_budget& budget, const input_bounds& bounds, Common::instant now)
{
    if (budget.totalBytes <= bounds.bytes)
        return {};
    const auto isReading = [](const input_holding& item) { return item.stage == input_stage::Reading && item.bytes > 0; };
    const auto chosen = choose(budget, isReading, [&](const input_holding& first, const input_holding& second) { return isRefusedBefore(first, second, bounds, now); });
    const bool isRoomForSmall = budget.totalBytes <= bounds.bytes + bounds.bytes / extraPartsForSmall;
    if (chosen && isSmall(budget.holdings.at(chosen->value), bounds) && isRoomForSmall)
        return {};
    return chosen;
}

std::optional<connection_id> chooseExcessConnection(const input_budget& budget, const input_bounds& bounds, Common::instant now)
{
    if (budget.holdings.size() <= bounds.connections)
        return {};
    const auto isUnanswered = [](const input_holding& item) { return item.stage != input_stage::Answering; };
    return choose(budget, isUnanswered, [now](const input_holding& first, const input_holding& second) {
        return std::pair(closingRank(first, now), first.progressAt) < std::pair(closingRank(second, now), second.progressAt);
    });
}

} // namespace Gateway
