#pragma once

/// @file
/// Requests that wait a short time until the owner of their account's allowance answers.

#include "Gateway/Allowance.h"

#include <functional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Gateway {

struct allowance_queue_events {
    std::function<proxied_call*(caller_session*, call_id)> find; ///< Null if the request has ended.
    std::function<void(proxied_call&)> granted;
    std::function<void(proxied_call&, const request_rejection&)> rejected;
    std::function<void(std::vector<Quota::outgoing_lease>&&)> send; ///< May be empty.
};

class allowance_queue {
public:
    allowance_queue(boost::asio::io_context& context, gateway_state& state);
    /// Sets the receivers of events; leases that expire are given back from now on.
    void start(allowance_queue_events events);
    /// Adds a request that waits for a lease.
    void add(const proxied_call& call);
    /// Tries all requests that wait, oldest first; those that may still be granted go on waiting.
    void serve();
    /// Sends what the leases have to tell other nodes.
    void flush();

private:
    struct entry {
        caller_session* session;
        call_id id;
        Common::account_id account;
        double amount;
        Common::instant until;
    };

    void scheduleNext();
    void scheduleReturn();
    bool serveEntry(const entry& item, Common::instant now);

    gateway_state& m_state;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_returnTimer;
    bool m_isScheduled { false };
    std::vector<entry> m_entries;
    allowance_queue_events m_events;
};

} // namespace Gateway
