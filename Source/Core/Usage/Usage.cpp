#include "Usage/Usage.h"

#include "Common/Json.h"

namespace Usage {

window_number windowOf(true_time at, milliseconds length)
{
    return { at.value / length.count() };
}

true_time endOf(window_number number, milliseconds length)
{
    return { (number.value + 1) * length.count() };
}

void countRequest(usage_counter& counter, const Common::account_id& account, true_time at)
{
    ++counter.windows[windowOf(at, counter.windowLength)][account];
}

std::vector<window_number> unwrittenWindows(const usage_counter& counter)
{
    std::vector<window_number> found;
    for (const auto& [number, counts] : counter.windows) {
        const auto known = counter.written.find(number);
        if (known == counter.written.end() || known->second != counts)
            found.push_back(number);
    }
    return found;
}

void markWritten(usage_counter& counter, window_number number, const account_counts& counts)
{
    counter.written[number] = counts;
}

void removeBefore(usage_counter& counter, window_number oldest)
{
    std::erase_if(counter.windows, [oldest](const auto& entry) { return entry.first < oldest; });
    std::erase_if(counter.written, [oldest](const auto& entry) { return entry.first < oldest; });
}

void addCounts(account_counts& sum, const account_counts& counts)
{
    for (const auto& [account, count] : counts)
        sum[account] += count;
}

std::string encodeCounts(const account_counts& counts)
{
    nlohmann::json body = nlohmann::json::object();
    for (const auto& [account, count] : counts)
        body[account.value] = count;
    return body.dump();
}

std::optional<account_counts> decodeCounts(const std::string& text)
{
    const nlohmann::json body = Common::parseJson(text);
    if (!body.is_object())
        return {};
    account_counts counts;
    for (const auto& [account, count] : body.items()) {
        if (!count.is_number_unsigned())
            return {};
        counts[{ account }] = count.get<uint64_t>();
    }
    return counts;
}

} // namespace Usage
