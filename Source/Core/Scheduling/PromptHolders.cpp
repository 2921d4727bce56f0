#include "Scheduling/PromptHolders.h"

#include "Common/Hash.h"

#include <algorithm>
#include <utility>

namespace Scheduling {

namespace {

    /// How likely the first and the second in rank hold a part: the second gets it only when the first is loaded.
    constexpr double firstHolderConfidence = 0.9;
    constexpr double secondHolderConfidence = 0.3;

    double countSharedTokens(const model_request& model)
    {
        double tokens = 0;
        for (size_t part = 0; part + 1 < model.parts.size(); ++part)
            tokens += model.parts[part].tokens;
        return std::min<double>(tokens, model.promptTokens);
    }

} // namespace

std::vector<prompt_holder> findPromptHolders(const model_request& model, const std::vector<Common::endpoint_id>& endpoints)
{
    // The last part belongs to the request itself or to its session.
    if (model.parts.size() < 2)
        return {};
    const std::string& shared = model.parts[model.parts.size() - 2].id;
    std::vector<std::pair<uint64_t, const Common::endpoint_id*>> ranked;
    ranked.reserve(endpoints.size());
    for (const Common::endpoint_id& id : endpoints)
        ranked.emplace_back(Common::rendezvousScore(shared, id.value), &id);
    const size_t count = std::min<size_t>(2, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), [](const auto& first, const auto& second) { return first.first > second.first; });
    const double tokens = countSharedTokens(model);
    std::vector<prompt_holder> holders;
    for (size_t rank = 0; rank < count; ++rank)
        holders.push_back({ *ranked[rank].second, tokens * (rank == 0 ? firstHolderConfidence : secondHolderConfidence) });
    return holders;
}

} // namespace Scheduling
