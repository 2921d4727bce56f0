/// @file
/// A model engine with continuous batching, a limited prefix cache, priorities, resumption of a partial answer and a
/// load report that lags.

#include "StandIns/StandIns.h"

#include <algorithm>
#include <deque>
#include <list>
#include <map>

#include <nlohmann/json.hpp>

namespace StandIns {

namespace {

    using nlohmann::json;

    constexpr int statusOk = 200;
    constexpr size_t prefixCacheEntries = 64;
    constexpr std::chrono::milliseconds reportLag { 300 }; ///< Interval at which the load report is renewed.

    struct engine_stream_entry {
        Common::caller_token token;
        std::string prompt;
        uint64_t position { 0 }; ///< Of the next token; above zero at the start of a resumed answer.
        uint64_t end { 0 };
        int priority { 0 };
        bool hasStarted { false }; ///< Whether the prefill is done.
    };

    struct engine_stand_in {
        stand_in_settings settings;
        std::list<engine_stream_entry> running;
        std::deque<engine_stream_entry> waiting;
        std::deque<std::string> prefixes; ///< The prefix cache, the most recently used last.
        size_t reportedRunning { 0 };
        size_t reportedWaiting { 0 };
        bool isLeaving { false };
        bool isStalled { false };
        bool isIgnoringCancel { false };
        bool isSendingInvalidEvents { false };
        int failuresLeft { 0 }; ///< Number of next requests to answer with 500.
        uint64_t requests { 0 };
        uint64_t tokens { 0 };
        uint64_t promptTokens { 0 }; ///< Computed; a cached prompt counts as one.
        uint64_t cancelled { 0 };
    };

    uint64_t countTokens(const std::string& text)
    {
        return static_cast<uint64_t>(std::count(text.begin(), text.end(), ' '));
    }

    engine_stream_entry readRequest(const engine_stand_in& engine, const Http::incoming_request& request)
    {
        const json body = json::parse(request.body);
        engine_stream_entry entry;
        entry.token = request.token;
        json messages = body["messages"];
        if (body.value("continue_final_message", false)) {
            entry.position = countTokens(messages.back()["content"].get<std::string>());
            messages.erase(messages.size() - 1);
        }
        for (const json& message : messages)
            entry.prompt += message["content"].get<std::string>() + "\n";
        entry.end = entry.position + body.value("max_tokens", engine.settings.defaultTokens);
        entry.priority = body.value("priority", 0);
        return entry;
    }

    /// Moves the prompt's first line to the newest end of the prefix cache and evicts the oldest entry when it is full.
    /// @return whether the line was cached.
    bool touchPrefix(engine_stand_in& engine, const std::string& prompt)
    {
        const std::string prefix = prompt.substr(0, prompt.find('\n'));
        const auto found = std::find(engine.prefixes.begin(), engine.prefixes.end(), prefix);
        const bool isCached = found != engine.prefixes.end();
        if (isCached)
            engine.prefixes.erase(found);
        engine.prefixes.push_back(prefix);
        if (engine.prefixes.size() > prefixCacheEntries)
            engine.prefixes.pop_front();
        return isCached;
    }

    std::string formatEvent(const std::string& text, bool isLast)
    {
        json choice { { "index", 0 }, { "delta", { { "content", text } } }, { "finish_reason", nullptr } };
        if (isLast)
            choice["finish_reason"] = "stop";
        return "data: " + json { { "object", "chat.completion.chunk" }, { "choices", json::array({ choice }) } }.dump() + "\n\n";
    }

    void admitWaiting(engine_stand_in& engine, Http::server& server)
    {
        while (!engine.waiting.empty() && engine.running.size() < engine.settings.slots) {
            const auto next = std::max_element(engine.waiting.begin(), engine.waiting.end(),
                [](const engine_stream_entry& left, const engine_stream_entry& right) { return left.priority < right.priority; });
            engine.running.push_back(std::move(*next));
            engine.waiting.erase(next);
            engine_stream_entry& entry = engine.running.back();
            const bool isCached = touchPrefix(engine, entry.prompt);
            engine.promptTokens += isCached ? 1 : countTokens(entry.prompt) + entry.position;
            const int64_t prefill = isCached ? engine.settings.prefillMilliseconds / 4 : engine.settings.prefillMilliseconds;
            server.beginStream(entry.token, statusOk, { { "Content-Type", "text/event-stream" } });
            server.runAfter(std::chrono::milliseconds(prefill), [&engine, token = entry.token] {
                for (engine_stream_entry& item : engine.running)
                    item.hasStarted = item.hasStarted || item.token == token;
            });
        }
    }

    /// @return whether the stream is finished.
    bool emitToken(engine_stand_in& engine, Http::server& server, engine_stream_entry& entry)
    {
        const std::string text = tokenOf(entry.prompt, entry.position++);
        const bool isLast = entry.position >= entry.end;
        ++engine.tokens;
        server.writeChunk(entry.token, engine.isSendingInvalidEvents ? "data: {{{\n\n" : formatEvent(text, isLast));
        if (!isLast)
            return false;
        server.writeChunk(entry.token, "data: [DONE]\n\n");
        server.endStream(entry.token);
        return true;
    }

    void decodeStep(engine_stand_in& engine, Http::server& server)
    {
        if (!engine.isStalled) {
            for (auto entry = engine.running.begin(); entry != engine.running.end();) {
                const bool isFinished = entry->hasStarted && emitToken(engine, server, *entry);
                entry = isFinished ? engine.running.erase(entry) : std::next(entry);
            }
        }
        admitWaiting(engine, server);
        server.runAfter(std::chrono::milliseconds(engine.settings.tokenMilliseconds), [&engine, &server] { decodeStep(engine, server); });
    }

    void refreshReport(engine_stand_in& engine, Http::server& server)
    {
        engine.reportedRunning = engine.running.size();
        engine.reportedWaiting = engine.waiting.size();
        server.runAfter(reportLag, [&engine, &server] { refreshReport(engine, server); });
    }

    void cancel(engine_stand_in& engine, Common::caller_token token)
    {
        if (engine.isIgnoringCancel)
            return;
        const auto isSame = [token](const engine_stream_entry& entry) { return entry.token == token; };
        engine.cancelled += engine.running.remove_if(isSame);
        std::erase_if(engine.waiting, isSame);
    }

    std::string control(engine_stand_in& engine, const json& change)
    {
        if (change.is_object()) {
            engine.isLeaving = change.value("leaving", engine.isLeaving);
            engine.isStalled = change.value("stalled", engine.isStalled);
            engine.isIgnoringCancel = change.value("ignore_cancel", engine.isIgnoringCancel);
            engine.isSendingInvalidEvents = change.value("nonsense", engine.isSendingInvalidEvents);
            engine.failuresLeft = change.value("failures", engine.failuresLeft);
            engine.settings.tokenMilliseconds = change.value("token_ms", engine.settings.tokenMilliseconds);
            engine.settings.prefillMilliseconds = change.value("prefill_ms", engine.settings.prefillMilliseconds);
        }
        return json {
            { "requests", engine.requests },
            { "tokens", engine.tokens },
            { "prompt_tokens", engine.promptTokens },
            { "cancelled", engine.cancelled },
            { "running", engine.running.size() },
        }
            .dump();
    }

    void receive(engine_stand_in& engine, Http::server& server, const Http::incoming_request& request)
    {
        constexpr int statusServerError = 500;
        ++engine.requests;
        if (engine.failuresLeft > 0) {
            --engine.failuresLeft;
            server.respond(request.token, statusServerError, {}, "{}");
            return;
        }
        engine.waiting.push_back(readRequest(engine, request));
        admitWaiting(engine, server);
    }

} // namespace

void runEngine(const stand_in_settings& settings)
{
    engine_stand_in engine;
    engine.settings = settings;
    Http::server* self = nullptr;
    Http::server server(
        settings.http,
        [&](Http::incoming_request&& request) {
            if (request.path == "/control")
                self->respond(request.token, statusOk, {}, control(engine, json::parse(request.body, nullptr, false)));
            else if (request.path == "/load")
                self->respond(request.token, statusOk, {}, json { { "running", engine.reportedRunning }, { "waiting", engine.reportedWaiting }, { "leaving", engine.isLeaving } }.dump());
            else
                receive(engine, *self, request);
        },
        [&engine](Common::caller_token token, size_t, bool isAlive) {
            if (!isAlive)
                cancel(engine, token);
        });
    self = &server;
    server.post([&] {
        refreshReport(engine, server);
        decodeStep(engine, server);
    });
    server.run();
}

} // namespace StandIns
