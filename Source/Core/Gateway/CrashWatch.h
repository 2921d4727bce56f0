#pragma once

/// @file
/// Tells endpoints that went down from endpoints that broke off a single response, and records for the quarantine which
/// fingerprints were involved: after a broken attempt it checks whether the endpoint still accepts connections. Endpoints
/// that fall silent or are started again at once are told by the listing.

#include "Gateway/Call.h"
#include "Gateway/EndpointCheck.h"
#include "Gateway/GatewayState.h"

#include <functional>
#include <map>
#include <set>

namespace Gateway {

class crash_watch {
public:
    /// Receivers of what the quarantine has collected; each may be empty.
    struct receivers {
        std::function<void(std::vector<Quarantine::outgoing_statement>&&)> sendStatements; ///< To other nodes.
        std::function<void(std::vector<Quarantine::stored_quarantine>&&)> store;
        /// Requests with these fingerprints are now refused.
        std::function<void(const std::set<Quarantine::fingerprint>&)> quarantined;
    };

    /// @param context runs the checks.
    /// @param state its quarantine is changed.
    crash_watch(boost::asio::io_context& context, gateway_state& state);

    void setReceivers(receivers receivers);
    /// @param call a request whose current attempt has ended.
    /// @param end how the HTTP exchange ended.
    /// @param outcome of the attempt.
    /// @param now current time.
    void attemptEnded(const proxied_call& call, exchange_end end, attempt_end outcome, Common::instant now);
    /// @param call a request whose current attempt was cancelled: its time was over, or the caller had gone.
    /// @param now current time.
    void attemptGivenUp(const proxied_call& call, Common::instant now);
    /// Passes on the statements and changes that the quarantine has collected.
    void flush();

private:
    /// Of whether an endpoint accepts connections.
    struct endpoint_check {
        bool isPending { false };
        Common::instant nextAt; ///< Earliest time of the next one.
    };

    void attemptAnswered(const proxied_call& call, Common::instant now);
    void attemptBroken(const proxied_call& call, Common::instant now);
    void addUnanswered(const proxied_call& call, Common::instant now);
    void check(const Quarantine::endpoint_start& start, const std::string& address, Common::instant now);
    void handleResult(const Quarantine::endpoint_start& start, endpoint_reachability result);
    bool isLeaving(const Quarantine::endpoint_start& start) const;

    boost::asio::io_context& m_context;
    gateway_state& m_state;
    receivers m_receivers;
    std::map<Quarantine::endpoint_start, endpoint_check> m_checks;
};

} // namespace Gateway
