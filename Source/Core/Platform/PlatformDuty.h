#pragma once

/// @file
/// The platform duty: the thread that calls the table service for all other duties.

#include "Common/Ring.h"
#include "Http/Client.h"
#include "Platform/Table.h"

#include <atomic>
#include <string>

namespace Platform {

struct platform_settings {
    std::string tableUrl; ///< Base URL of the table service.
    std::string tableName { "filbertreel" };
    size_t ringCapacity { 8192 };
    /// Maximum number of calls in flight; further ones wait in the backlog.
    size_t maxConcurrentCalls { 256 };
};

class platform_duty {
public:
    explicit platform_duty(platform_settings settings);

    /// Queues a call; may be called from any thread. When the ring is full, the call is answered with
    /// Unavailable at once, on the calling thread.
    void submit(table_call&& call);
    /// Performs the calls on the calling thread until stop().
    void run();
    /// Makes run() return; may be called from any thread.
    void stop();

private:
    void startCall(table_call&& call);

    platform_settings m_settings;
    Common::ring<table_call> m_inbox;
    Http::client m_client;
    std::vector<table_call> m_backlog; ///< Calls taken from the ring but not yet started, oldest first.
    std::atomic<bool> m_isStopping { false };
};

} // namespace Platform
