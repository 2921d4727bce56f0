#pragma once

/// @file
/// Checks the promises of the service while the soak runs, from what callers, endpoints and the cloud see.

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

/// One arrival of a request at an endpoint that runs it.
struct run_seen {
    std::string id;
    std::string endpoint;
    std::string target;
    std::string body;
    std::string account;
    bool hasKey { false }; ///< The caller's key was passed on.
    int timeBudgetMs { 0 };
    moment at;
};

/// What a caller saw at the end of a request.
struct answer_seen {
    enum class ending {
        Complete,
        Broken, ///< The connection ended first.
        TimedOut, ///< The caller waited longer than its time budget.
        Left, ///< The caller closed the connection itself.
    };

    ending end { ending::Broken };
    int status { 0 }; ///< Zero: no head arrived.
    std::string id; ///< As the answer states it.
    bool isSealed { false };
    std::string body; ///< As far as it arrived.
};

struct breach {
    std::string rule;
    std::string what;
};

/// Which checks with a bound in time hold for this run.
struct checker_settings {
    bool isTimed { false }; ///< Times count: the machine has processor time to spare.
    bool isPlannedOnly { false }; ///< Nothing but planned work disturbs this run.
};

class promise_checker {
public:
    explicit promise_checker(checker_settings settings);

    // --- What the operator and the fault plan do

    /// A catalog is about to be sent, and later was acknowledged.
    void noteCatalogSent(uint64_t version);
    void noteCatalogAcknowledged(uint64_t version, moment at);
    void noteEndpointLeaving(const std::string& endpoint, moment at);
    void noteEndpointBack(const std::string& endpoint);
    /// A new process of a node is about to start.
    void noteNodeStart(int node, moment at);
    /// Something other than planned work began or ended.
    void noteDisturbance(moment at);
    void noteBreach(const std::string& rule, const std::string& what);

    // --- What endpoints and callers see

    void noteSent(const work_request& request, int node, moment at);
    void noteArrival(const std::string& id, moment at);
    void noteRun(const run_seen& run);
    void noteAnswer(const std::string& id, const answer_seen& answer, moment at);

    /// Checks that need the whole run.
    void finish(const std::vector<PlatformTests::duty_call>& calls);

    std::vector<breach> breaches() const;
    /// @return counts of requests by how they ended.
    std::map<std::string, int> outcomes() const;

    /// Requests that have to be served while nothing is harmed, and those of them that were, since the last call.
    struct served_share {
        int due { 0 };
        int served { 0 };
    };
    served_share takeServedShare();

private:
    struct request_record {
        work_request request;
        int node { 0 };
        moment sentAt;
        int arrivals { 0 }; ///< At endpoints, also where it was not run.
        int runs { 0 };
        bool isPromisedNotRun { false };
    };

    struct node_record {
        moment startedAt;
        uint64_t versionFloor { 0 }; ///< Oldest version that this process can have in force.
        moment floorSeenAt;
    };

    void add(const std::string& rule, const std::string& what);
    bool isCalm(moment from) const;
    void checkSuccess(const request_record& record, const answer_seen& answer);
    void checkKey(const request_record& record, bool isTaken, moment at);
    void checkLate(const request_record& record, bool isTaken);
    void checkRefusal(request_record& record);
    void checkLoss(const request_record& record, moment at);
    void checkAllowance();
    void checkRepeats();
    void checkDuties(const std::vector<PlatformTests::duty_call>& calls);

    checker_settings m_settings;
    mutable std::mutex m_mutex;
    std::map<std::string, request_record> m_requests;
    std::map<int, node_record> m_nodes;
    std::map<uint64_t, moment> m_acknowledged;
    std::map<std::string, moment> m_leaving;
    uint64_t m_newestSent { 0 };
    std::optional<moment> m_lastDisturbance;
    std::vector<moment> m_sentAt;
    std::vector<moment> m_repeatedAt;
    std::vector<moment> m_limitedRunsAt;
    std::vector<breach> m_breaches;
    std::map<std::string, int> m_outcomes;
    served_share m_share;
};

/// @param times moments in any order.
/// @param window a length of time.
/// @return the most of them that any span of that length holds.
size_t mostWithin(std::vector<moment> times, milliseconds window);

} // namespace Faults
