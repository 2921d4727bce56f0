#include "Membership/Overlay.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Membership {

namespace {

    struct ring_point {
        uint64_t position;
        Common::node_id id;
    };

    /// @return this node and all members that are not dead, in order of their position.
    std::vector<ring_point> placeOnRing(const Common::node_id& self, const member_map& members)
    {
        std::vector<ring_point> points { { Common::hash64(self.value), self } };
        for (const auto& [id, item] : members) {
            if (id != self && item.status != member_status::Dead)
                points.push_back({ Common::hash64(id.value), id });
        }
        std::sort(points.begin(), points.end(), [](const ring_point& left, const ring_point& right) {
            return left.position != right.position ? left.position < right.position : left.id < right.id;
        });
        return points;
    }

} // namespace

std::vector<Common::node_id> chooseLinks(const Common::node_id& self, const member_map& members)
{
    const std::vector<ring_point> points = placeOnRing(self, members);
    const auto own = std::find_if(points.begin(), points.end(), [&self](const ring_point& point) { return point.id == self; });
    const auto start = static_cast<size_t>(own - points.begin());
    std::vector<Common::node_id> links;
    for (size_t distance = 1; distance < points.size(); distance *= 2)
        links.push_back(points[(start + distance) % points.size()].id);
    return links;
}

std::vector<Common::node_id> choosePushLinks(const Common::node_id& self, const member_map& members)
{
    constexpr size_t maxUnthinnedLinks = 4;
    constexpr size_t pushLinkStride = 3;
    std::vector<Common::node_id> links = chooseLinks(self, members);
    if (links.size() <= maxUnthinnedLinks)
        return links;
    std::vector<Common::node_id> chosen;
    for (size_t index = 0; index < links.size(); index += pushLinkStride)
        chosen.push_back(links[index]);
    return chosen;
}

Common::node_id choosePeer(const member_map& members, const Common::node_id& self, const std::string& key, size_t rank)
{
    std::vector<ring_point> scored;
    for (const auto& [id, item] : members) {
        if (id != self && item.status == member_status::Alive)
            scored.push_back({ Common::rendezvousScore(key, id.value), id });
    }
    if (rank >= scored.size())
        return {};
    std::sort(scored.begin(), scored.end(), [](const ring_point& left, const ring_point& right) { return left.position > right.position; });
    return scored[rank].id;
}

} // namespace Membership
