/// @file
/// The cloud's API: a list of instances that can lag behind, and starts that are idempotent by client token.

#include "StandIns/StandIns.h"

#include <map>

#include <nlohmann/json.hpp>

namespace StandIns {

namespace {

    using nlohmann::json;

    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;

    struct cloud_stand_in {
        std::map<std::string, json> instances; ///< The current state, by id.
        std::map<std::string, json> listed; ///< The state that the list shows, delayed by lagMilliseconds; by id.
        std::map<std::string, std::string> instanceIdsByToken;
        bool isDown { false }; ///< Answers 503.
        bool isRefusingStarts { false };
        int64_t lagMilliseconds { 0 };
    };

    std::string list(const cloud_stand_in& cloud)
    {
        json items = json::array();
        for (const auto& [id, item] : cloud.listed)
            items.push_back(item);
        return json { { "instances", items } }.dump();
    }

    void control(cloud_stand_in& cloud, const json& change)
    {
        if (!change.is_object())
            return;
        cloud.isDown = change.value("down", cloud.isDown);
        cloud.isRefusingStarts = change.value("refuse_starts", cloud.isRefusingStarts);
        cloud.lagMilliseconds = change.value("lag_ms", cloud.lagMilliseconds);
        for (const json& item : change.value("set", json::array()))
            cloud.instances[item["id"]] = item;
        for (const json& id : change.value("remove", json::array()))
            cloud.instances.erase(id.get<std::string>());
    }

    std::string start(cloud_stand_in& cloud, const json& request)
    {
        const std::string token = request.value("client_token", "");
        const auto earlierStart = cloud.instanceIdsByToken.find(token);
        if (earlierStart != cloud.instanceIdsByToken.end())
            return cloud.instances[earlierStart->second].dump();
        const std::string id = "i-" + std::to_string(cloud.instanceIdsByToken.size() + 1);
        json instance = request;
        instance["id"] = id;
        instance["state"] = "running";
        cloud.instances[id] = instance;
        cloud.instanceIdsByToken[token] = id;
        return instance.dump();
    }

} // namespace

void runCloud(const stand_in_settings& settings)
{
    cloud_stand_in cloud;
    Http::server* self = nullptr;
    const auto refresh = [&] {
        const auto snapshot = cloud.instances;
        if (cloud.lagMilliseconds == 0)
            cloud.listed = snapshot;
        else
            self->runAfter(std::chrono::milliseconds(cloud.lagMilliseconds), [&cloud, snapshot] { cloud.listed = snapshot; });
    };
    Http::server server(settings.http, [&](Http::incoming_request&& request) {
        const json body = json::parse(request.body, nullptr, false);
        if (request.path == "/control") {
            control(cloud, body);
            refresh();
            self->respond(request.token, statusOk, {}, list(cloud));
        } else if (cloud.isDown) {
            self->respond(request.token, statusUnavailable, {}, "{}");
        } else if (request.method == "POST" && cloud.isRefusingStarts) {
            self->respond(request.token, statusConflict, {}, "{\"error\":\"InsufficientInstanceCapacity\"}");
        } else if (request.method == "POST") {
            const std::string answer = start(cloud, body);
            refresh();
            self->respond(request.token, statusOk, {}, answer);
        } else {
            self->respond(request.token, statusOk, {}, list(cloud));
        }
    });
    self = &server;
    server.run();
}

} // namespace StandIns
