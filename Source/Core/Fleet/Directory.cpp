#include "Fleet/Directory.h"

#include "Common/Address.h"
#include "Common/Json.h"

namespace Fleet {

namespace {

    /// Fewest addresses for which the choice stays in the zone or region: a caller with fewer has no other node to try
    /// when its node fails, until it asks the directory again.
    constexpr size_t minAddresses = 2;

    template <typename predicate>
    std::vector<std::string> collect(const node_map& nodes, predicate matches)
    {
        std::vector<std::string> addresses;
        for (const auto& [id, entry] : nodes) {
            if (entry.isLeaving || !entry.isReachable || entry.clientAddress.empty() || !matches(entry))
                continue;
            if (addresses.size() < maxAddresses)
                addresses.push_back(entry.clientAddress);
        }
        return addresses;
    }

    bool isAddressOrEmpty(const std::string& text)
    {
        return text.empty() || Common::parseAddress(text);
    }

    /// A store's clock may begin anywhere, so the offset may be as large as a wall clock's time.
    bool isClockOffset(int64_t milliseconds)
    {
        constexpr int64_t limit = int64_t { 1 } << 53;
        return milliseconds >= -limit && milliseconds <= limit;
    }

} // namespace

std::vector<std::string> chooseAddresses(const node_map& nodes, const Common::zone_name& zone, const Common::region_name& region)
{
    std::vector<std::string> inZone = collect(nodes, [&zone](const node_entry& entry) { return entry.zone == zone; });
    if (inZone.size() >= minAddresses)
        return inZone;
    std::vector<std::string> inRegion = collect(nodes, [&region](const node_entry& entry) { return entry.region == region; });
    if (inRegion.size() >= minAddresses)
        return inRegion;
    return collect(nodes, [](const node_entry&) { return true; });
}

std::string encodeNode(const node_entry& entry)
{
    nlohmann::json body {
        { "callers", entry.clientAddress },
        { "peer", entry.peerAddress },
        { "zone", entry.zone.value },
        { "region", entry.region.value },
        { "incarnation", entry.incarnation.value },
        { "core_share", entry.cores },
        { "leaving", entry.isLeaving },
    };
    if (entry.clockOffset)
        body["clock_offset_ms"] = *entry.clockOffset;
    return body.dump();
}

std::optional<node_entry> decodeNode(const Common::node_id& node, const std::string& text)
{
    const nlohmann::json body = Common::parseJson(text);
    node_entry entry;
    entry.node = node;
    entry.clientAddress = Common::textMember(body, "callers");
    entry.peerAddress = Common::textMember(body, "peer");
    if (!isAddressOrEmpty(entry.clientAddress) || !Common::parseAddress(entry.peerAddress))
        return {};
    entry.zone = { Common::textMember(body, "zone") };
    entry.region = { Common::textMember(body, "region") };
    entry.incarnation = { Common::integerMember<uint64_t>(body, "incarnation") };
    entry.cores = Common::numberMember(body, "core_share", 1);
    entry.isLeaving = Common::flagMember(body, "leaving");
    const nlohmann::json& offset = Common::memberOf(body, "clock_offset_ms");
    if (Common::isIntegerOf<int64_t>(offset) && isClockOffset(offset.get<int64_t>()))
        entry.clockOffset = offset.get<int64_t>();
    return entry;
}

} // namespace Fleet
