#include "Fleet/Directory.h"

#include <nlohmann/json.hpp>

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

node_entry decodeNode(const Common::node_id& node, const std::string& text)
{
    node_entry entry;
    entry.node = node;
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
        return entry;
    entry.clientAddress = body.value("callers", "");
    entry.peerAddress = body.value("peer", "");
    entry.zone = { body.value("zone", "") };
    entry.region = { body.value("region", "") };
    entry.incarnation = { body.value("incarnation", uint64_t { 0 }) };
    entry.cores = body.value("core_share", 1.0);
    entry.isLeaving = body.value("leaving", false);
    if (body.contains("clock_offset_ms") && body["clock_offset_ms"].is_number_integer())
        entry.clockOffset = body["clock_offset_ms"].get<int64_t>();
    return entry;
}

} // namespace Fleet
