#include "Endpoints/CloudCodec.h"

#include "Common/Json.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace Endpoints {

namespace {

    using nlohmann::json;

    std::string_view nameOf(instance_role role)
    {
        switch (role) {
        case instance_role::Engine:
            return "engine";
        case instance_role::Service:
            return "service";
        case instance_role::Entry:
            return "entry";
        }
        return "engine";
    }

    json encodeInstance(const instance_info& info)
    {
        return {
            { "id", info.id.value },
            { "role", nameOf(info.role) },
            { "service", info.service },
            { "version", info.version.value },
            { "address", info.address },
            { "peer_address", info.peerAddress },
            { "zone", info.zone.value },
            { "region", info.region.value },
            { "price_per_hour_micro", info.pricePerHour.value },
            { "slots", info.slots },
            { "reclaimable", info.isReclaimable },
            { "state", info.isLeaving ? "leaving" : "running" },
        };
    }

    std::optional<instance_role> parseRole(const std::string& name)
    {
        if (name == "engine")
            return instance_role::Engine;
        if (name == "service")
            return instance_role::Service;
        if (name == "entry")
            return instance_role::Entry;
        return std::nullopt;
    }

    std::optional<instance_info> parseInstance(const json& item)
    {
        try {
            const auto role = parseRole(item.at("role").get<std::string>());
            if (!role)
                return std::nullopt;
            instance_info info;
            info.id = { item.at("id").get<std::string>() };
            info.role = *role;
            info.service = item.value("service", "");
            info.version = { item.value("version", "") };
            info.address = item.at("address").get<std::string>();
            info.peerAddress = item.value("peer_address", "");
            info.zone = { item.value("zone", "") };
            info.region = { item.value("region", "") };
            info.pricePerHour = { item.value("price_per_hour_micro", int64_t { 0 }) };
            info.slots = item.value("slots", uint32_t { 1 });
            info.isReclaimable = item.value("reclaimable", true);
            info.isLeaving = item.value("state", "running") != "running";
            return info;
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    Common::failure malformedAnswer(const std::string& subject)
    {
        return { Common::failure_kind::EndpointNonsense, subject, Common::run_state::Unknown, 0 };
    }

} // namespace

Common::result<std::vector<instance_info>> parseInstances(const std::string& body)
{
    const json parsed = Common::parseJson(body);
    if (!parsed.is_object() || !parsed.contains("instances") || !parsed["instances"].is_array())
        return tl::unexpected(malformedAnswer("cloud"));
    std::vector<instance_info> instances;
    for (const json& item : parsed["instances"]) {
        if (auto info = parseInstance(item))
            instances.push_back(std::move(*info));
    }
    return instances;
}

std::string encodeInstances(const std::vector<instance_info>& instances)
{
    json list = json::array();
    for (const instance_info& info : instances)
        list.push_back(encodeInstance(info));
    return json { { "instances", list } }.dump();
}

Common::result<load_report> parseLoad(const Common::endpoint_id& id, const std::string& body)
{
    const json parsed = Common::parseJson(body);
    if (!parsed.is_object())
        return tl::unexpected(malformedAnswer(id.value));
    try {
        load_report report;
        report.id = id;
        report.running = parsed.at("running").get<uint32_t>();
        report.waiting = parsed.at("waiting").get<uint32_t>();
        report.isLeaving = parsed.value("leaving", false);
        return report;
    } catch (const json::exception&) {
        return tl::unexpected(malformedAnswer(id.value));
    }
}

} // namespace Endpoints
