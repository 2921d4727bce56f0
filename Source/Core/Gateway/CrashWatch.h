#pragma once

/// @file
/// Tells endpoints that went down from endpoints that broke off a single response: after a broken attempt it checks
/// whether the endpoint still accepts connections.

#include "Gateway/Call.h"
#include "Gateway/EndpointCheck.h"

#include <set>

namespace Gateway {

class crash_watch {
public:
    /// @param context runs the checks.
    explicit crash_watch(boost::asio::io_context& context);

    /// Logs a broken attempt and checks its endpoint, one check at a time for each endpoint.
    /// @param call a request whose current attempt has broken off.
    /// @param othersInFlight this node's other requests at the endpoint.
    /// @param now current time.
    void attemptBroken(const proxied_call& call, size_t othersInFlight, Common::instant now);

private:
    void handleResult(const Common::endpoint_id& endpoint, endpoint_reachability result);

    boost::asio::io_context& m_context;
    std::set<Common::endpoint_id> m_checked; ///< Endpoints with a check in progress.
};

} // namespace Gateway
