#pragma once

/// @file
/// A node with a dozen engines that end each attempt of a model request.

#include "Dispatch/Dispatcher.h"

namespace BrokenWork {

using namespace Dispatch;

constexpr int engineCount = 12;

inline clock_reading at(int ms)
{
    return { Common::instant(std::chrono::hours(1)) + std::chrono::milliseconds(ms), { ms } };
}

inline dispatch_state makeState()
{
    dispatch_state state;
    auto config = std::make_shared<Configuration::configuration>();
    Configuration::class_of_work work;
    work.name = { "chat" };
    work.service = "m";
    config->classes[work.name] = work;
    state.config = config;
    std::vector<Endpoints::instance_info> engines;
    for (int number = 0; number < engineCount; ++number) {
        Endpoints::instance_info info;
        info.id = { "e" + std::to_string(100 + number) };
        info.service = "m";
        info.version = { "v1" };
        info.slots = 4;
        engines.push_back(info);
    }
    static_cast<void>(stepDispatch(state, endpoints_published { std::make_shared<const std::vector<Endpoints::instance_info>>(std::move(engines)) }, at(0)));
    return state;
}

/// Lets a request arrive and ends each of its attempts.
/// @param tokensEach tokens that each attempt generates before it ends.
/// @param beginMs time of its arrival.
/// @return the number of attempts in twenty seconds.
inline int countAttempts(dispatch_state& state, const char* id, const char* body, size_t tokensEach, Http::transfer_end end, int beginMs)
{
    int attempts = 0;
    request_transfer transfer { { id }, { "clerks" }, { "chat" }, nlohmann::json::parse(body), {}, true };
    std::vector<dispatch_action> actions = stepDispatch(state, transfer_offered { { "n2" }, std::move(transfer) }, at(beginMs));
    for (int ms = beginMs; ms < beginMs + 20000; ms += 100) {
        std::vector<dispatch_action> next = stepDispatch(state, dispatch_tick {}, at(ms));
        actions.insert(actions.end(), next.begin(), next.end());
        next.clear();
        for (const dispatch_action& action : actions) {
            const auto* begun = std::get_if<start_attempt>(&action);
            if (!begun)
                continue;
            ++attempts;
            if (tokensEach > 0)
                static_cast<void>(stepDispatch(state, attempt_tokens { begun->attempt, std::vector<std::string>(tokensEach, "t") }, at(ms)));
            const auto following = stepDispatch(state, attempt_ended { begun->attempt, end, 0, {}, {} }, at(ms));
            next.insert(next.end(), following.begin(), following.end());
        }
        actions = std::move(next);
    }
    return attempts;
}

} // namespace BrokenWork
