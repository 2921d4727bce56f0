#pragma once

/// @file
/// Tells whether this node reaches the endpoints of a service: after attempts that may have failed for want of a path it opens
/// connections to some of the endpoints. A node that reaches none has lost its paths, and goes on checking until one is back.

#include "Gateway/EndpointCheck.h"
#include "Gateway/GatewayState.h"

#include <map>

namespace Gateway {

class path_monitor {
public:
    /// @param context runs the checks.
    /// @param state its endpoints are checked.
    path_monitor(boost::asio::io_context& context, gateway_state& state);

    /// An attempt got no connection or no response: checks the paths unless that was just done.
    void suspect(const Common::service_name& service, Common::instant now);
    /// @return whether no endpoint of the service could be reached.
    bool areLost(const Common::service_name& service) const;

private:
    struct service_paths {
        bool areLost { false };
        size_t pendingChecks { 0 };
        bool hasAccepted { false }; ///< In the checks of this round.
        Common::instant nextRound; ///< Earliest time of the next round of checks.
    };

    void startRound(const Common::service_name& service, milliseconds delay);
    void handleResult(const Common::service_name& service, endpoint_reachability result);
    void endRound(const Common::service_name& service, service_paths& paths);
    std::vector<std::string> chooseAddresses(const Common::service_name& service);

    boost::asio::io_context& m_context;
    gateway_state& m_state;
    std::map<Common::service_name, service_paths> m_services;
};

} // namespace Gateway
