/// @file
/// A plain service (ledger, order desk) that counts how often each idempotency key ran.

#include "StandIns/StandIns.h"

#include <map>

#include <nlohmann/json.hpp>

namespace StandIns {

namespace {

    using nlohmann::json;

    constexpr int statusOk = 200;

    struct service_stand_in {
        std::map<std::string, uint64_t> runs;
        int cutsBefore { 0 }; ///< Calls that are cut without having run.
        int cutsAfter { 0 }; ///< Calls that run and are cut.
        int64_t delayMilliseconds { 0 };
        bool isLeaving { false };
    };

    std::string control(service_stand_in& service, const json& change)
    {
        if (change.is_object()) {
            service.cutsBefore = change.value("cut_before", service.cutsBefore);
            service.cutsAfter = change.value("cut_after", service.cutsAfter);
            service.delayMilliseconds = change.value("delay_ms", service.delayMilliseconds);
            service.isLeaving = change.value("leaving", service.isLeaving);
        }
        return json { { "runs", service.runs } }.dump();
    }

    std::string runCall(service_stand_in& service, const Http::incoming_request& request)
    {
        const std::string key(Http::findHeader(request.headers, "idempotency-key"));
        const uint64_t run = ++service.runs[key];
        return json { { "path", request.path }, { "key", key }, { "run", run } }.dump();
    }

    bool takeOne(int& counter)
    {
        if (counter == 0)
            return false;
        --counter;
        return true;
    }

} // namespace

void runService(const stand_in_settings& settings)
{
    service_stand_in service;
    Http::server* self = nullptr;
    Http::server server(settings.http, [&](Http::incoming_request&& request) {
        if (request.path == "/control") {
            self->respond(request.token, statusOk, {}, control(service, json::parse(request.body, nullptr, false)));
            return;
        }
        if (request.path == "/load") {
            self->respond(request.token, statusOk, {}, json { { "running", 0 }, { "waiting", 0 }, { "leaving", service.isLeaving } }.dump());
            return;
        }
        if (takeOne(service.cutsBefore)) {
            self->cutAnswer(request.token);
            return;
        }
        const auto answer = [&, request] {
            const std::string body = runCall(service, request);
            if (takeOne(service.cutsAfter))
                self->cutAnswer(request.token);
            else
                self->respond(request.token, statusOk, { { "Content-Type", "application/json" } }, body);
        };
        if (service.delayMilliseconds > 0)
            self->runAfter(std::chrono::milliseconds(service.delayMilliseconds), answer);
        else
            answer();
    });
    self = &server;
    server.run();
}

} // namespace StandIns
