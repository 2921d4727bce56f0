#include "Measure.h"

#include "FakeEngines.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace Measure {

namespace {

    using std::chrono::duration;
    using std::chrono::duration_cast;

    constexpr Common::instant epoch = Common::instant {} + std::chrono::hours(1);
    constexpr uint32_t prefixGroups = 60;
    constexpr double reportInterval = 0.5;
    constexpr double reportDelay = 0.3;
    constexpr double listDelay = 2.0;
    constexpr double tickInterval = 0.05;
    constexpr double firstTokenTarget = 0.81;
    /// Simulated time after the last arrival, in which requests in flight can end.
    constexpr double drainSeconds = 60;

    struct fake_caller {
        double sentAt { 0 };
        size_t account { 0 };
        bool hasFirstToken { false };
        bool isInTarget { false };
        int tokens { 0 };
        uint32_t prefix { 0 };
    };

    struct fake_node {
        Dispatch::dispatch_state state;
        std::string region;
    };

    class measurement {
    public:
        measurement(const profile& chosen, const measure_options& options)
            : m_profile(chosen)
            , m_options(options)
            , m_random(options.seed)
            , m_engines(m_events, chosen, [this](size_t node, Dispatch::dispatch_message&& message) { deliver(node, std::move(message)); })
        {
            addNodes();
        }

        measure_result run()
        {
            scheduleArrivals();
            scheduleTicks();
            scheduleFaults();
            m_events.runUntil(m_options.seconds + drainSeconds);
            return finish();
        }

    private:
        void addNodes()
        {
            Configuration::configuration config;
            for (const account_load& account : m_profile.accounts)
                config.accounts[{ account.name }].id = { account.name };
            const auto shared = std::make_shared<const Configuration::configuration>(config);
            for (size_t index = 0; index < m_profile.nodeRegions.size(); ++index) {
                fake_node node;
                node.region = m_profile.nodeRegions[index];
                node.state.settings.node = { "node-" + std::to_string(index) };
                node.state.settings.incarnation = { 1 };
                node.state.config = shared;
                node.state.admission.settings.rejectsLate = m_options.hasAdmission;
                node.state.router.chosenPolicy = m_options.policy;
                node.state.router.region = { node.region };
                node.state.router.zone = { node.region };
                node.state.router.random = Common::random_source(m_options.seed, index);
                m_nodes.push_back(std::move(node));
            }
            publishList();
        }

        Dispatch::clock_reading clock() const
        {
            return { epoch + duration_cast<Common::duration>(duration<double>(m_events.now())), { static_cast<int64_t>(m_events.now() * 1000) } };
        }

        void publishList()
        {
            const auto list = std::make_shared<const std::vector<Endpoints::instance_info>>(m_engines.list());
            for (size_t node = 0; node < m_nodes.size(); ++node)
                deliver(node, Dispatch::endpoints_published { list, static_cast<double>(m_nodes.size()) });
        }

        void deliver(size_t node, Dispatch::dispatch_message message)
        {
            for (Dispatch::dispatch_action& action : stepDispatch(m_nodes[node].state, std::move(message), clock())) {
                if (const auto* start = std::get_if<Dispatch::start_attempt>(&action))
                    m_engines.start(node, *start);
                else if (const auto* cancel = std::get_if<Dispatch::cancel_attempt>(&action))
                    m_engines.cancel(node, cancel->attempt);
                else if (const auto* tokens = std::get_if<Dispatch::send_tokens>(&action))
                    recordTokens(node, *tokens);
                else if (const auto* end = std::get_if<Dispatch::send_stream_end>(&action))
                    recordEnd(end->token, false);
                else if (const auto* failure = std::get_if<Dispatch::send_stream_failure>(&action))
                    recordEnd(failure->token, true);
                else if (const auto* refusal = std::get_if<Dispatch::send_failure>(&action))
                    recordRefusal(refusal->token);
            }
        }

        // Callers

        double arrivalRate(double time) const
        {
            // Load of a busy day: a slow rise and fall, and a spike of double load late in the day.
            const double share = time / m_options.seconds;
            const double shape = 0.6 + 0.5 * std::sin(share * 3.14159265);
            const bool isSpike = share > 0.70 && share < 0.75;
            return m_profile.requestsPerSecond * shape * (isSpike ? 2.0 : 1.0);
        }

        void scheduleArrivals()
        {
            double time = 0;
            while (time < m_options.seconds) {
                time += -std::log(1 - Common::uniformUnit(m_random)) / arrivalRate(time);
                m_events.at(time, [this] { sendRequest(); });
            }
        }

        size_t drawAccount()
        {
            double point = Common::uniformUnit(m_random);
            for (size_t index = 0; index < m_profile.accounts.size(); ++index) {
                if (point < m_profile.accounts[index].share)
                    return index;
                point -= m_profile.accounts[index].share;
            }
            return 0;
        }

        void sendRequest()
        {
            const uint64_t token = m_callers.size() + 1;
            fake_caller caller;
            caller.sentAt = m_events.now();
            caller.account = drawAccount();
            caller.tokens = 1 + static_cast<int>(-std::log(1 - Common::uniformUnit(m_random)) * m_profile.meanTokens);
            caller.tokens = std::min(caller.tokens, m_profile.meanTokens * 6);
            caller.prefix = Common::uniformBelow(m_random, prefixGroups);
            m_callers.push_back(caller);
            const size_t node = Common::uniformBelow(m_random, static_cast<uint32_t>(m_nodes.size()));
            Dispatch::caller_request request;
            request.token = { token };
            request.account = { m_profile.accounts[caller.account].name };
            request.work.name = { "work" };
            request.work.service = "model";
            request.isStreamed = true;
            request.body = { { "messages", nlohmann::json::array({ { { "role", "system" }, { "content", "prefix " + std::to_string(caller.prefix) } } }) }, { "max_tokens", caller.tokens } };
            deliver(node, std::move(request));
        }

        void recordTokens(size_t, const Dispatch::send_tokens& action)
        {
            fake_caller& caller = m_callers[action.token.value - 1];
            m_result.tokens += action.texts.size();
            if (caller.hasFirstToken)
                return;
            caller.hasFirstToken = true;
            caller.isInTarget = m_events.now() - caller.sentAt <= firstTokenTarget;
        }

        void recordEnd(Common::caller_token token, bool isFailed)
        {
            m_result.answered += isFailed ? 0 : 1;
            m_result.failed += isFailed ? 1 : 0;
            if (isFailed)
                m_callers[token.value - 1].isInTarget = false;
        }

        void recordRefusal(Common::caller_token)
        {
            ++m_result.refused;
        }

        // Load reports, ticks, and injected faults

        void scheduleTicks()
        {
            for (double time = 0; time < m_options.seconds + drainSeconds; time += tickInterval) {
                m_events.at(time, [this] {
                    for (size_t node = 0; node < m_nodes.size(); ++node)
                        deliver(node, Dispatch::dispatch_tick {});
                });
            }
            for (double time = 0; time < m_options.seconds + drainSeconds; time += reportInterval)
                m_events.at(time, [this] { report(); });
        }

        void report()
        {
            for (const Endpoints::load_report& item : m_engines.report()) {
                m_events.at(m_events.now() + reportDelay, [this, item] {
                    for (size_t node = 0; node < m_nodes.size(); ++node)
                        deliver(node, Dispatch::load_published { item });
                });
            }
        }

        void scheduleFaults()
        {
            const std::string zone = m_profile.groups.front().zone;
            const double reclaim = m_options.seconds * 0.35;
            const double restore = m_options.seconds * 0.50;
            const double priceChange = m_options.seconds * 0.60;
            m_events.at(reclaim, [this, zone] { m_engines.reclaimZone(zone); });
            m_events.at(reclaim + listDelay, [this] { publishList(); });
            m_events.at(restore, [this] {
                m_engines.restoreAll();
                publishList();
            });
            m_events.at(priceChange, [this, zone] {
                m_engines.changePrices(zone);
                publishList();
            });
        }

        measure_result finish()
        {
            std::map<size_t, std::pair<uint64_t, uint64_t>> byAccount;
            for (const fake_caller& caller : m_callers) {
                m_result.inTarget += caller.isInTarget ? 1 : 0;
                byAccount[caller.account].first += caller.isInTarget ? 1 : 0;
                byAccount[caller.account].second += 1;
            }
            m_result.requests = m_callers.size();
            m_result.costMicro = m_engines.totals().costMicro;
            m_result.promptsComputed = m_engines.totals().promptsComputed;
            m_result.promptsCached = m_engines.totals().promptsCached;
            for (const auto& [account, counts] : byAccount)
                m_result.worstAccountInTarget = std::min(m_result.worstAccountInTarget, static_cast<double>(counts.first) / static_cast<double>(counts.second));
            for (const fake_node& node : m_nodes)
                m_result.tokensRecomputed += node.state.counters.tokensRecomputed;
            return m_result;
        }

        profile m_profile;
        measure_options m_options;
        Common::random_source m_random;
        event_queue m_events;
        fake_engines m_engines;
        std::vector<fake_node> m_nodes;
        std::vector<fake_caller> m_callers;
        measure_result m_result;
    };

    const std::vector<account_load> fiveAccounts { { "large-1", 0.40 }, { "large-2", 0.35 }, { "small-1", 0.10 }, { "small-2", 0.10 }, { "small-3", 0.05 } };

} // namespace

profile findProfile(const std::string& name)
{
    if (name == "authority") {
        return { name,
            { { "east-a", "east", 3, 900000, true }, { "west-a", "west", 3, 700000, true }, { "north-a", "north", 3, 1400000, false } },
            { "east", "east", "west", "west", "north", "north" }, fiveAccounts, 8.0, 120 };
    }
    if (name == "guild") {
        return { name,
            { { "ashanti-a", "ashanti", 4, 800000, true }, { "accra-a", "accra", 4, 1000000, true }, { "northern-a", "northern", 4, 600000, true } },
            { "ashanti", "ashanti", "accra", "accra", "accra", "northern", "northern" }, fiveAccounts, 10.0, 160 };
    }
    return {};
}

measure_result runMeasure(const profile& chosen, const measure_options& options)
{
    measurement run(chosen, options);
    return run.run();
}

} // namespace Measure
