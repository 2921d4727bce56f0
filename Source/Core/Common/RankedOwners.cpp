#include "Common/RankedOwners.h"

#include "Common/Hash.h"

#include <utility>

namespace Common {

ranked_owners rankOwners(std::string_view key, const node_id& self, const std::set<node_id>& peers)
{
    ranked_owners found;
    uint64_t ownerScore = 0;
    uint64_t backupScore = 0;
    const auto consider = [&](const node_id& node) {
        const uint64_t score = rendezvousScore(key, node.value);
        if (found.owner.value.empty() || score > ownerScore) {
            found.backup = std::exchange(found.owner, node);
            backupScore = std::exchange(ownerScore, score);
        } else if (found.backup.value.empty() || score > backupScore) {
            found.backup = node;
            backupScore = score;
        }
    };
    consider(self);
    for (const node_id& peer : peers)
        consider(peer);
    return found;
}

} // namespace Common
