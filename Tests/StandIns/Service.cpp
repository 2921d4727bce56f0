/// @file
/// A plain service (ledger, order desk) that counts the runs for each idempotency key.

#include "StandIns/StandIns.h"

#include <map>

#include <nlohmann/json.hpp>

namespace StandIns {

namespace {

    using nlohmann::json;

    constexpr int statusOk = 200;

    struct service_stand_in {
        std::map<std::string, uint64_t> runs; ///< By idempotency key.
        int cutsBeforeRun { 0 }; ///< Number of next calls to cut without running them.
        int cutsAfterRun { 0 }; ///< Number of next calls to run and then cut.
        int64_t delayMilliseconds { 0 };
        bool isLeaving { false };
    };

    std::string control(service_stand_in& service, const json& change)
    {
        if (change.is_object()) {
            service.cutsBeforeRun = change.value("cut_before", service.cutsBeforeRun);
            service.cutsAfterRun = change.value("cut_after", service.cutsAfterRun);
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

    bool consumeOne(int& counter)
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
        if (consumeOne(service.cutsBeforeRun)) {
            self->cutAnswer(request.token);
            return;
        }
        const auto answer = [&, request] {
            const std::string body = runCall(service, request);
            if (consumeOne(service.cutsAfterRun))
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
