#pragma once

/// @file
/// The platform duty: the thread that speaks to the table service for all other duties.

#include "Common/Ring.h"
#include "Http/Client.h"
#include "Platform/Table.h"

#include <atomic>
#include <string>

namespace Platform {

struct platform_settings {
    std::string tableUrl;
    std::string tableName { "filbertreel" };
    size_t ringCapacity { 8192 };
    /// Calls under way at once; further ones wait in the ring's backlog.
    size_t maxConcurrentCalls { 256 };
};

class platform_duty {
public:
    explicit platform_duty(platform_settings settings);

    /// Hands a call over; may be called from any thread. When the ring is full the call is answered
    /// Unavailable at once, on the caller's thread.
    void submit(table_call&& call);
    /// Serves until stop().
    void run();
    void stop();

private:
    void begin(table_call&& call);

    platform_settings m_settings;
    Common::ring<table_call> m_inbox;
    Http::client m_client;
    std::vector<table_call> m_backlog;
    std::atomic<bool> m_isStopping { false };
};

} // namespace Platform
