#include "Fleet/Directory.h"

#include <nlohmann/json.hpp>

namespace Fleet {

namespace {

    /// With fewer addresses than this a caller whose node dies has nowhere to turn until it asks again.
    constexpr size_t wantedAddresses = 2;

    template <typename predicate>
    std::vector<std::string> collect(const node_map& nodes, predicate matches)
    {
        std::vector<std::string> addresses;
        for (const auto& [id, item] : nodes) {
            if (item.isLeaving || !item.isReachable || item.callersAddress.empty() || !matches(item))
                continue;
            if (addresses.size() < mostAddresses)
                addresses.push_back(item.callersAddress);
        }
        return addresses;
    }

} // namespace

std::vector<std::string> chooseAddresses(const node_map& nodes, const Common::zone_name& zone, const Common::region_name& region)
{
    std::vector<std::string> inZone = collect(nodes, [&zone](const node_entry& item) { return item.zone == zone; });
    if (inZone.size() >= wantedAddresses)
        return inZone;
    std::vector<std::string> inRegion = collect(nodes, [&region](const node_entry& item) { return item.region == region; });
    if (inRegion.size() >= wantedAddresses)
        return inRegion;
    return collect(nodes, [](const node_entry&) { return true; });
}

std::string encodeNode(const node_entry& item)
{
    nlohmann::json body {
        { "callers", item.callersAddress },
        { "peer", item.peerAddress },
        { "zone", item.zone.value },
        { "region", item.region.value },
        { "incarnation", item.incarnation.value },
        { "core_share", item.coreShare },
        { "leaving", item.isLeaving },
    };
    if (item.clockOffset)
        body["clock_offset_ms"] = *item.clockOffset;
    return body.dump();
}

node_entry decodeNode(const Common::node_id& node, const std::string& text)
{
    node_entry item;
    item.node = node;
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
        return item;
    item.callersAddress = body.value("callers", "");
    item.peerAddress = body.value("peer", "");
    item.zone = { body.value("zone", "") };
    item.region = { body.value("region", "") };
    item.incarnation = { body.value("incarnation", uint64_t { 0 }) };
    item.coreShare = body.value("core_share", 1.0);
    item.isLeaving = body.value("leaving", false);
    if (body.contains("clock_offset_ms") && body["clock_offset_ms"].is_number_integer())
        item.clockOffset = body["clock_offset_ms"].get<int64_t>();
    return item;
}

} // namespace Fleet
