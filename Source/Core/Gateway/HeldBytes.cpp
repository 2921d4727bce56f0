#include "Gateway/HeldBytes.h"

#include "Common/Log.h"
#include "Gateway/CallerSession.h"

namespace Gateway {

namespace {

    constexpr size_t bytesPerMegabyte = size_t { 1024 } * 1024;
    /// Growing bodies take up to four times their size for a while; the rest is left to the program itself.
    constexpr size_t partsOfMemory = 16;

    size_t heldBy(const proxied_call& call)
    {
        const size_t unread = call.session ? call.session->unreadBytes() : 0;
        if (!call.currentAttempt)
            return unread;
        return unread + call.currentAttempt->body.capacity() + call.currentAttempt->events.partial.capacity();
    }

} // namespace

size_t maxHeldBytes(const Fleet::machine_limits& limits)
{
    return limits.memoryMegabytes * bytesPerMegabyte / partsOfMemory;
}

held_bytes sumHeldBytes(const std::unordered_map<caller_session*, std::unique_ptr<proxied_call>>& calls)
{
    held_bytes held;
    for (const auto& [session, call] : calls) {
        const size_t bytes = heldBy(*call);
        held.total += bytes;
        if (bytes <= held.largestBytes)
            continue;
        held.largestBytes = bytes;
        held.largest = call.get();
    }
    return held;
}

void logHeldTooMuch(const proxied_call& call, const held_bytes& held)
{
    const std::string endpoint = call.currentAttempt ? call.currentAttempt->placement.endpoint.value : std::string();
    Common::logEvent(Common::log_level::Warning, "response_too_large", { { "request", call.facts.attemptId }, { "endpoint", endpoint }, { "bytes", held.largestBytes }, { "held_bytes", held.total } });
}

} // namespace Gateway
