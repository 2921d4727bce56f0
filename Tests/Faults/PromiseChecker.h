#pragma once

/// @file
/// Checks the guarantees of the service while the soak runs, using only what callers, endpoints and the cloud observe.

#include "Faults/SoakWork.h"
#include "Platform/CloudStandIn.h"

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Faults {

using moment = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// One execution of a request, as observed by the endpoint that runs it.
struct observed_run {
    std::string id;
    std::string endpoint; ///< Id of the endpoint in the store.
    std::string target; ///< Path and query.
    std::string body;
    std::string account;
    bool hasKey { false }; ///< The caller's API key was forwarded, which must not happen.
    int timeBudgetMs { 0 };
    moment at;
};

/// The answer to a request as observed by its caller.
struct observed_answer {
    enum class ending {
        Complete,
        Broken, ///< The connection ended, or sent malformed bytes, before the answer was complete.
        TimedOut, ///< The answer did not arrive within the time budget.
        ClosedByCaller, ///< The caller closed the connection before the answer was complete.
    };

    ending end { ending::Broken };
    int status { 0 }; ///< HTTP status; 0 when no response head arrived.
    std::string id; ///< Request id in the answer's headers.
    bool isSealed { false }; ///< The answer has the endpoint's X-Filbertreel-Server-Seal header.
    std::string body; ///< The part that arrived.
    bool saysLeaving { false }; ///< The answer has the endpoint's Server-Leaving header.
};

/// A refusal with Retry-After, as observed by the endpoint that sent it.
struct observed_backoff {
    std::string id; ///< Of the refused request.
    std::string endpoint;
    milliseconds time { 0 }; ///< From Retry-After.
    moment sendBegan;
    moment sendEnded;
};

/// A violated guarantee.
struct breach {
    std::string rule; ///< Upper-case name of the rule, such as LOST.
    std::string description;
};

/// Selects the checks that apply to a run.
struct checker_settings {
    bool isTimed { false }; ///< Check time limits; requires a machine with idle processor time.
    /// The run has only planned operations (restarts, drains, changes of settings and catalog): no request may be lost.
    bool isPlannedOnly { false };
};

/// Collects events from all threads of a run and records violations. Thread-safe.
class promise_checker {
public:
    explicit promise_checker(checker_settings settings);

    // --- Events from the operator and the fault plan

    /// Call before a catalog is sent to the store.
    void recordCatalogSent(uint64_t version);
    /// Call when the store has acknowledged a catalog.
    void recordCatalogAcknowledged(uint64_t version, moment at);
    void recordEndpointDraining(const std::string& endpoint, moment at);
    void recordEndpointRestored(const std::string& endpoint);
    /// Call before a new process of a node starts.
    void recordNodeStart(int node, moment at);
    /// Call when a frozen node is about to go on.
    void recordNodeResumed(int node, moment at);
    /// Call when the link to an endpoint's address is impaired, reset or repaired.
    /// @param until end of the disturbance; moment::max() while it goes on.
    void recordEndpointLinkDisturbed(const std::string& endpoint, moment until);
    /// Call when an unplanned fault starts or ends.
    /// @param at when it ends; may be in the future.
    void recordDisturbance(moment at);
    void recordBreach(const std::string& rule, const std::string& description);

    // --- Events from endpoints and callers

    void recordRequestSent(const work_request& request, int node, moment at);
    /// Call for every request that reaches an endpoint, also when it is refused there.
    void recordArrival(const std::string& id, moment at);
    /// Call for every request that reaches the endpoint it is meant for, also when it is refused there.
    void recordRequestReceived(const std::string& id, const std::string& endpoint, moment at);
    /// Call before an endpoint answers a request with Server-Leaving.
    void recordLeavingStated(const std::string& id, const std::string& endpoint);
    void recordBackoffStated(const observed_backoff& backoff);
    /// Call when an endpoint starts to run a request.
    void recordRun(const observed_run& run);
    void recordAnswer(const std::string& id, const observed_answer& answer, moment at);

    /// Runs the checks that need the events of the whole run.
    /// @param calls every call of a duty that the cloud received.
    void finish(const std::vector<PlatformTests::duty_call>& calls);

    std::vector<breach> breaches() const;
    /// @return number of requests by status and end of the answer, and totals of the checks in finish().
    std::map<std::string, int> outcomes() const;

    /// Requests that the callers did not close themselves and whose key has no limit and is in every catalog.
    struct served_counts {
        int expected { 0 }; ///< All of them: each is expected to succeed when there is no fault.
        int served { 0 }; ///< Those that got a complete success.
    };
    /// @return the counts since the last call; resets them.
    served_counts takeServedCounts();

private:
    struct request_record {
        work_request request;
        int node { 0 };
        moment sentAt;
        int arrivals { 0 }; ///< At endpoints, including those that refused it.
        int runs { 0 };
        bool isRefusedAsNotRun { false }; ///< The caller got a status that guarantees that the request was not run.
        std::string leavingEndpoint; ///< The last one that answered the request with Server-Leaving.
    };

    struct node_record {
        moment startedAt;
        uint64_t versionFloor { 0 }; ///< Oldest catalog version that this process can have in force.
        moment floorObservedAt; ///< When the answer that raised the floor arrived.
        moment uninterruptedSince; ///< The newest start or end of a freeze.
    };

    /// A node and an endpoint.
    using node_and_endpoint = std::pair<int, std::string>;

    /// The time in which a node may send an endpoint two requests at most.
    struct backoff_window {
        moment from;
        moment until;
        int arrivals { 0 };
    };

    void add(const std::string& rule, const std::string& description);
    bool isSettledAt(moment time) const;
    void recordLeavingPassedOn(const request_record& record, moment at);
    void checkLeaving(const request_record& record, const std::string& endpoint);
    void checkBackoff(const request_record& record, const std::string& endpoint, moment at);
    bool isLinkSoundAt(const std::string& endpoint, moment time) const;
    void checkSuccess(const request_record& record, const observed_answer& answer);
    void checkKeyVersion(const request_record& record, bool isKeyAccepted, moment at);
    void checkCatalogDelay(const request_record& record, bool isKeyAccepted);
    void checkRefusal(request_record& record);
    void checkLoss(const request_record& record, moment at);
    void checkAllowance();
    void checkRetryBudget();
    void checkDuties(const std::vector<PlatformTests::duty_call>& calls);

    checker_settings m_settings;
    mutable std::mutex m_mutex;
    std::map<std::string, request_record> m_requests;
    std::map<int, node_record> m_nodes;
    std::map<uint64_t, moment> m_acknowledgedAt; ///< By catalog version.
    std::map<std::string, moment> m_drainingSince; ///< By endpoint id.
    std::map<node_and_endpoint, moment> m_leavingPassedOnAt; ///< When the node first passed on that the endpoint leaves.
    std::map<node_and_endpoint, std::vector<backoff_window>> m_backoffs;
    std::map<std::string, moment> m_linkDisturbedUntil; ///< By the first id at the endpoint's address.
    uint64_t m_newestSentVersion { 0 }; ///< Of the catalog.
    std::optional<moment> m_lastDisturbance;
    std::vector<moment> m_sentAt;
    std::vector<moment> m_retriedAt; ///< Arrivals at endpoints after a request's first.
    std::vector<moment> m_limitedRunsAt; ///< Runs for the account with a limit.
    std::vector<breach> m_breaches;
    std::map<std::string, int> m_outcomes;
    served_counts m_servedCounts;
};

/// @param times in any order.
/// @param window length of the sliding window.
/// @return the largest number of the times that fall within one window.
size_t maxCountInWindow(std::vector<moment> times, milliseconds window);

} // namespace Faults
