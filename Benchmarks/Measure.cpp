#include "Measure.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>

namespace Measure {

namespace {

    using std::chrono::duration;
    using std::chrono::duration_cast;

    constexpr Common::instant epoch = Common::instant {} + std::chrono::hours(1);
    constexpr uint32_t engineSlots = 8;
    constexpr double prefillSeconds = 0.18;
    constexpr double cachedPrefillSeconds = 0.05;
    constexpr double tokenSeconds = 0.020;
    constexpr double batchSlowdown = 0.5; ///< A full batch decodes this much slower.
    constexpr size_t prefixCacheEntries = 24;
    constexpr uint32_t prefixGroups = 60;
    constexpr double reportInterval = 0.5;
    constexpr double reportLag = 0.3;
    constexpr double listLag = 2.0;
    constexpr double tickInterval = 0.05;
    constexpr double crossRegionSeconds = 0.030;
    constexpr double sameRegionSeconds = 0.001;
    constexpr double crossRegionMicroPerToken = 0.018;
    constexpr double secondsPerHour = 3600;
    constexpr double firstTokenTarget = 0.81;

    struct fake_attempt {
        size_t node { 0 };
        Common::attempt_number number;
        uint32_t prefix { 0 };
        int tokens { 0 };
        double beganAt { 0 };
        double prefill { 0 };
        double interval { 0 };
        int given { 0 };
    };

    struct fake_engine {
        Endpoints::instance_info info;
        bool isRunning { true };
        std::map<std::pair<size_t, uint64_t>, fake_attempt> running;
        std::deque<fake_attempt> waiting;
        std::deque<uint32_t> prefixes;
    };

    struct fake_caller {
        double sentAt { 0 };
        size_t account { 0 };
        bool hasFirstToken { false };
        bool isInTarget { false };
        int tokens { 0 };
        uint32_t prefix { 0 };
    };

    struct timed_event {
        double at { 0 };
        uint64_t order { 0 };
        std::function<void()> run;

        bool operator<(const timed_event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
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
        {
            addEngines();
            addNodes();
        }

        measure_result run()
        {
            scheduleArrivals();
            scheduleTicks();
            scheduleTroubles();
            const double end = m_options.seconds + 60.0;
            while (!m_events.empty() && m_events.top().at <= end) {
                const timed_event event = m_events.top();
                m_events.pop();
                m_now = event.at;
                event.run();
            }
            return finish();
        }

    private:
        void at(double time, std::function<void()> run)
        {
            m_events.push({ time, ++m_order, std::move(run) });
        }

        void addEngines()
        {
            int number = 0;
            for (const engine_group& group : m_profile.groups) {
                for (int index = 0; index < group.count; ++index) {
                    fake_engine engine;
                    engine.info.id = { "engine-" + std::to_string(++number) };
                    engine.info.service = "model";
                    engine.info.address = engine.info.id.value;
                    engine.info.zone = { group.zone };
                    engine.info.region = { group.region };
                    engine.info.pricePerHour = { group.pricePerHourMicro };
                    engine.info.slots = engineSlots;
                    engine.info.isReclaimable = group.isReclaimable;
                    m_engines.push_back(std::move(engine));
                }
            }
        }

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
                node.state.admission.settings.refusesLate = m_options.hasAdmission;
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
            return { epoch + duration_cast<Common::duration>(duration<double>(m_now)), { static_cast<int64_t>(m_now * 1000) } };
        }

        void publishList()
        {
            auto list = std::make_shared<std::vector<Endpoints::instance_info>>();
            for (const fake_engine& engine : m_engines) {
                if (engine.isRunning)
                    list->push_back(engine.info);
            }
            for (size_t node = 0; node < m_nodes.size(); ++node)
                tell(node, Dispatch::endpoints_published { list, static_cast<double>(m_nodes.size()) });
        }

        void tell(size_t node, Dispatch::dispatch_message message)
        {
            for (Dispatch::dispatch_action& action : stepDispatch(m_nodes[node].state, std::move(message), clock())) {
                if (const auto* start = std::get_if<Dispatch::start_attempt>(&action))
                    startAttempt(node, *start);
                else if (const auto* cancel = std::get_if<Dispatch::cancel_attempt>(&action))
                    cancelAttempt(node, cancel->attempt);
                else if (const auto* tokens = std::get_if<Dispatch::send_tokens>(&action))
                    takeTokens(node, *tokens);
                else if (const auto* end = std::get_if<Dispatch::send_stream_end>(&action))
                    takeEnd(end->token, false);
                else if (const auto* failure = std::get_if<Dispatch::send_stream_failure>(&action))
                    takeEnd(failure->token, true);
                else if (const auto* refusal = std::get_if<Dispatch::send_failure>(&action))
                    takeRefusal(refusal->token);
            }
        }

        // Callers

        double arrivalRate(double time) const
        {
            // A busy day: a slow rise and fall, and a spike of double load late in it.
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
                at(time, [this] { arrive(); });
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

        void arrive()
        {
            const uint64_t token = m_callers.size() + 1;
            fake_caller caller;
            caller.sentAt = m_now;
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
            tell(node, std::move(request));
        }

        void takeTokens(size_t, const Dispatch::send_tokens& action)
        {
            fake_caller& caller = m_callers[action.token.value - 1];
            m_result.tokens += action.texts.size();
            if (caller.hasFirstToken)
                return;
            caller.hasFirstToken = true;
            caller.isInTarget = m_now - caller.sentAt <= firstTokenTarget;
        }

        void takeEnd(Common::caller_token token, bool isFailed)
        {
            m_result.answered += isFailed ? 0 : 1;
            m_result.failed += isFailed ? 1 : 0;
            if (isFailed)
                m_callers[token.value - 1].isInTarget = false;
        }

        void takeRefusal(Common::caller_token)
        {
            ++m_result.refused;
        }

        // Engines

        fake_engine* findEngine(const Common::endpoint_id& id)
        {
            for (fake_engine& engine : m_engines) {
                if (engine.info.id == id)
                    return &engine;
            }
            return nullptr;
        }

        double link(size_t node, const fake_engine& engine) const
        {
            return engine.info.region.value == m_nodes[node].region ? sameRegionSeconds : crossRegionSeconds;
        }

        void startAttempt(size_t node, const Dispatch::start_attempt& action)
        {
            fake_engine* engine = findEngine(action.endpoint);
            const Common::attempt_number number = action.attempt;
            if (!engine->isRunning) {
                at(m_now + link(node, *engine), [this, node, number] { tell(node, Dispatch::attempt_ended { number, Http::transfer_end::NotSent, 0, {}, {} }); });
                return;
            }
            const nlohmann::json body = nlohmann::json::parse(action.body);
            fake_attempt attempt;
            attempt.node = node;
            attempt.number = number;
            attempt.tokens = body["max_tokens"].get<int>();
            attempt.prefix = static_cast<uint32_t>(std::stoul(body["messages"][0]["content"].get<std::string>().substr(7)));
            at(m_now + link(node, *engine), [this, engine, attempt] {
                engine->waiting.push_back(attempt);
                serve(*engine);
            });
        }

        bool touchPrefix(fake_engine& engine, uint32_t prefix)
        {
            const auto found = std::find(engine.prefixes.begin(), engine.prefixes.end(), prefix);
            const bool isCached = found != engine.prefixes.end();
            if (isCached)
                engine.prefixes.erase(found);
            engine.prefixes.push_back(prefix);
            if (engine.prefixes.size() > prefixCacheEntries)
                engine.prefixes.pop_front();
            return isCached;
        }

        void serve(fake_engine& engine)
        {
            while (engine.isRunning && !engine.waiting.empty() && engine.running.size() < engineSlots) {
                fake_attempt attempt = engine.waiting.front();
                engine.waiting.pop_front();
                const bool isCached = touchPrefix(engine, attempt.prefix);
                (isCached ? m_result.promptsCached : m_result.promptsComputed) += 1;
                const double load = static_cast<double>(engine.running.size()) / engineSlots;
                attempt.beganAt = m_now;
                attempt.prefill = isCached ? cachedPrefillSeconds : prefillSeconds;
                attempt.interval = tokenSeconds * (1 + batchSlowdown * load);
                const auto key = std::make_pair(attempt.node, attempt.number.value);
                engine.running[key] = attempt;
                at(m_now + attempt.prefill, [this, &engine, key] { giveFirstToken(engine, key); });
                at(m_now + attempt.prefill + attempt.interval * attempt.tokens, [this, &engine, key] { finishAttempt(engine, key); });
            }
        }

        /// Gives the tokens that are due by now and were not given yet.
        void giveTokens(fake_engine& engine, fake_attempt& attempt, int due)
        {
            const int fresh = std::min(due, attempt.tokens) - attempt.given;
            if (fresh <= 0)
                return;
            attempt.given += fresh;
            at(m_now + link(attempt.node, engine), [this, node = attempt.node, number = attempt.number, fresh] {
                tell(node, Dispatch::attempt_tokens { number, std::vector<std::string>(static_cast<size_t>(fresh), "t ") });
            });
        }

        void giveFirstToken(fake_engine& engine, const std::pair<size_t, uint64_t>& key)
        {
            const auto found = engine.running.find(key);
            if (found == engine.running.end())
                return;
            giveTokens(engine, found->second, 1);
            scheduleMore(engine, key);
        }

        /// Tokens come in small groups, often enough for the node's stall detection.
        void scheduleMore(fake_engine& engine, const std::pair<size_t, uint64_t>& key)
        {
            constexpr double groupSeconds = 0.5;
            at(m_now + groupSeconds, [this, &engine, key] {
                const auto found = engine.running.find(key);
                if (found == engine.running.end())
                    return;
                fake_attempt& attempt = found->second;
                giveTokens(engine, attempt, static_cast<int>((m_now - attempt.beganAt - attempt.prefill) / attempt.interval));
                scheduleMore(engine, key);
            });
        }

        void payFor(const fake_engine& engine, const fake_attempt& attempt)
        {
            m_result.costMicro += (m_now - attempt.beganAt) * static_cast<double>(engine.info.pricePerHour.value) / secondsPerHour / engineSlots;
            if (engine.info.region.value != m_nodes[attempt.node].region)
                m_result.costMicro += attempt.given * crossRegionMicroPerToken;
        }

        void finishAttempt(fake_engine& engine, const std::pair<size_t, uint64_t>& key)
        {
            const auto found = engine.running.find(key);
            if (found == engine.running.end())
                return;
            fake_attempt attempt = found->second;
            giveTokens(engine, attempt, attempt.tokens);
            payFor(engine, attempt);
            engine.running.erase(found);
            at(m_now + link(attempt.node, engine), [this, attempt] {
                tell(attempt.node, Dispatch::attempt_ended { attempt.number, Http::transfer_end::Complete, 200, {}, "stop" });
            });
            serve(engine);
        }

        void cancelAttempt(size_t node, Common::attempt_number number)
        {
            for (fake_engine& engine : m_engines) {
                const auto found = engine.running.find({ node, number.value });
                if (found != engine.running.end()) {
                    payFor(engine, found->second);
                    engine.running.erase(found);
                    serve(engine);
                }
                std::erase_if(engine.waiting, [&](const fake_attempt& attempt) { return attempt.node == node && attempt.number == number; });
            }
        }

        void stopEngine(fake_engine& engine)
        {
            engine.isRunning = false;
            std::vector<fake_attempt> cut(engine.waiting.begin(), engine.waiting.end());
            for (auto& [key, attempt] : engine.running) {
                giveTokens(engine, attempt, static_cast<int>((m_now - attempt.beganAt - attempt.prefill) / attempt.interval));
                payFor(engine, attempt);
                cut.push_back(attempt);
            }
            engine.running.clear();
            engine.waiting.clear();
            engine.prefixes.clear();
            for (const fake_attempt& attempt : cut)
                at(m_now + link(attempt.node, engine), [this, attempt] { tell(attempt.node, Dispatch::attempt_ended { attempt.number, Http::transfer_end::Cut, 200, {}, {} }); });
        }

        // Reports, ticks and troubles

        void scheduleTicks()
        {
            for (double time = 0; time < m_options.seconds + 60.0; time += tickInterval) {
                at(time, [this] {
                    for (size_t node = 0; node < m_nodes.size(); ++node)
                        tell(node, Dispatch::dispatch_tick {});
                });
            }
            for (double time = 0; time < m_options.seconds + 60.0; time += reportInterval)
                at(time, [this] { report(); });
        }

        void report()
        {
            for (const fake_engine& engine : m_engines) {
                const Endpoints::load_report item { engine.info.id, static_cast<uint32_t>(engine.running.size()), static_cast<uint32_t>(engine.waiting.size()), false };
                at(m_now + reportLag, [this, item] {
                    for (size_t node = 0; node < m_nodes.size(); ++node)
                        tell(node, Dispatch::load_published { item });
                });
            }
        }

        void scheduleTroubles()
        {
            const std::string zone = m_profile.groups.front().zone;
            const double reclaim = m_options.seconds * 0.35;
            const double comeBack = m_options.seconds * 0.50;
            const double priceChange = m_options.seconds * 0.60;
            at(reclaim, [this, zone] {
                for (fake_engine& engine : m_engines) {
                    if (engine.info.zone.value == zone && engine.info.isReclaimable)
                        stopEngine(engine);
                }
            });
            at(reclaim + listLag, [this] { publishList(); });
            at(comeBack, [this, zone] {
                for (fake_engine& engine : m_engines)
                    engine.isRunning = true;
                publishList();
            });
            at(priceChange, [this] {
                for (fake_engine& engine : m_engines)
                    engine.info.pricePerHour = { engine.info.zone.value == m_profile.groups.front().zone ? engine.info.pricePerHour.value * 2 : engine.info.pricePerHour.value * 3 / 4 };
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
            for (const auto& [account, counts] : byAccount)
                m_result.worstAccountInTarget = std::min(m_result.worstAccountInTarget, static_cast<double>(counts.first) / static_cast<double>(counts.second));
            for (const fake_node& node : m_nodes)
                m_result.tokensRecomputed += node.state.counters.tokensRecomputed;
            return m_result;
        }

        profile m_profile;
        measure_options m_options;
        Common::random_source m_random;
        std::vector<fake_engine> m_engines;
        std::vector<fake_node> m_nodes;
        std::vector<fake_caller> m_callers;
        std::priority_queue<timed_event> m_events;
        uint64_t m_order { 0 };
        double m_now { 0 };
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
