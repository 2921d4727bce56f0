#include "FakeEngines.h"

#include <algorithm>

namespace Measure {

namespace {

    constexpr uint32_t engineSlots = 8;
    constexpr double prefillSeconds = 0.18;
    constexpr double cachedPrefillSeconds = 0.05;
    constexpr double tokenSeconds = 0.020;
    constexpr double batchSlowdown = 0.5; ///< A full batch decodes this much slower.
    constexpr double groupSeconds = 0.5; ///< Tokens come in groups, often enough for the node's stall detection.
    constexpr size_t prefixCacheEntries = 24;
    constexpr double crossRegionSeconds = 0.030;
    constexpr double sameRegionSeconds = 0.001;
    constexpr double crossRegionMicroPerToken = 0.018;
    constexpr double secondsPerHour = 3600;
    constexpr int statusOk = 200;

    fake_engine makeEngine(const engine_group& group, int number)
    {
        fake_engine engine;
        engine.info.id = { "engine-" + std::to_string(number) };
        engine.info.service = "model";
        engine.info.address = engine.info.id.value;
        engine.info.zone = { group.zone };
        engine.info.region = { group.region };
        engine.info.pricePerHour = { group.pricePerHourMicro };
        engine.info.slots = engineSlots;
        engine.info.isReclaimable = group.isReclaimable;
        return engine;
    }

    fake_attempt readAttempt(size_t node, const Dispatch::start_attempt& action)
    {
        constexpr size_t prefixNameLength = 7; // "prefix "
        const nlohmann::json body = nlohmann::json::parse(action.body);
        fake_attempt attempt;
        attempt.node = node;
        attempt.number = action.attempt;
        attempt.tokens = body["max_tokens"].get<int>();
        attempt.prefix = static_cast<uint32_t>(std::stoul(body["messages"][0]["content"].get<std::string>().substr(prefixNameLength)));
        return attempt;
    }

    Dispatch::attempt_ended cut(Common::attempt_number number)
    {
        return { number, Http::transfer_end::Cut, statusOk, {}, {} };
    }

} // namespace

fake_engines::fake_engines(event_queue& events, const profile& chosen, deliver_function deliver)
    : m_events(events)
    , m_nodeRegions(chosen.nodeRegions)
    , m_deliver(std::move(deliver))
{
    int number = 0;
    for (const engine_group& group : chosen.groups) {
        for (int index = 0; index < group.count; ++index)
            m_engines.push_back(makeEngine(group, ++number));
    }
}

fake_engine& fake_engines::find(const Common::endpoint_id& id)
{
    return *std::find_if(m_engines.begin(), m_engines.end(), [&id](const fake_engine& engine) { return engine.info.id == id; });
}

double fake_engines::link(size_t node, const fake_engine& engine) const
{
    return engine.info.region.value == m_nodeRegions[node] ? sameRegionSeconds : crossRegionSeconds;
}

void fake_engines::deliverLater(const fake_engine& engine, size_t node, Dispatch::dispatch_message message)
{
    m_events.at(m_events.now() + link(node, engine), [this, node, message = std::move(message)]() mutable { m_deliver(node, std::move(message)); });
}

void fake_engines::start(size_t node, const Dispatch::start_attempt& action)
{
    fake_engine& engine = find(action.endpoint);
    if (!engine.isRunning) {
        deliverLater(engine, node, Dispatch::attempt_ended { action.attempt, Http::transfer_end::NotSent, 0, {}, {} });
        return;
    }
    m_events.at(m_events.now() + link(node, engine), [this, &engine, attempt = readAttempt(node, action)] {
        engine.waiting.push_back(attempt);
        serve(engine);
    });
}

bool fake_engines::touchPrefix(fake_engine& engine, uint32_t prefix)
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

void fake_engines::serve(fake_engine& engine)
{
    while (engine.isRunning && !engine.waiting.empty() && engine.running.size() < engineSlots) {
        fake_attempt attempt = engine.waiting.front();
        engine.waiting.pop_front();
        const bool isCached = touchPrefix(engine, attempt.prefix);
        (isCached ? m_totals.promptsCached : m_totals.promptsComputed) += 1;
        const double load = static_cast<double>(engine.running.size()) / engineSlots;
        attempt.beganAt = m_events.now();
        attempt.prefill = isCached ? cachedPrefillSeconds : prefillSeconds;
        attempt.interval = tokenSeconds * (1 + batchSlowdown * load);
        const attempt_key key { attempt.node, attempt.number.value };
        engine.running[key] = attempt;
        const double prefilledAt = m_events.now() + attempt.prefill;
        m_events.at(prefilledAt, [this, &engine, key] { giveFirstToken(engine, key); });
        m_events.at(prefilledAt + attempt.interval * attempt.tokens, [this, &engine, key] { finish(engine, key); });
    }
}

void fake_engines::giveTokens(fake_engine& engine, fake_attempt& attempt, int due)
{
    const int fresh = std::min(due, attempt.tokens) - attempt.given;
    if (fresh <= 0)
        return;
    attempt.given += fresh;
    deliverLater(engine, attempt.node, Dispatch::attempt_tokens { attempt.number, std::vector<std::string>(static_cast<size_t>(fresh), "t ") });
}

void fake_engines::giveDueTokens(fake_engine& engine, fake_attempt& attempt)
{
    const double decoding = m_events.now() - attempt.beganAt - attempt.prefill;
    giveTokens(engine, attempt, static_cast<int>(decoding / attempt.interval));
}

void fake_engines::giveFirstToken(fake_engine& engine, const attempt_key& key)
{
    const auto found = engine.running.find(key);
    if (found == engine.running.end())
        return;
    giveTokens(engine, found->second, 1);
    scheduleMore(engine, key);
}

void fake_engines::scheduleMore(fake_engine& engine, const attempt_key& key)
{
    m_events.at(m_events.now() + groupSeconds, [this, &engine, key] {
        const auto found = engine.running.find(key);
        if (found == engine.running.end())
            return;
        giveDueTokens(engine, found->second);
        scheduleMore(engine, key);
    });
}

void fake_engines::payFor(const fake_engine& engine, const fake_attempt& attempt)
{
    const double held = m_events.now() - attempt.beganAt;
    m_totals.costMicro += held * static_cast<double>(engine.info.pricePerHour.value) / secondsPerHour / engineSlots;
    if (engine.info.region.value != m_nodeRegions[attempt.node])
        m_totals.costMicro += attempt.given * crossRegionMicroPerToken;
}

void fake_engines::finish(fake_engine& engine, const attempt_key& key)
{
    const auto found = engine.running.find(key);
    if (found == engine.running.end())
        return;
    fake_attempt attempt = found->second;
    giveTokens(engine, attempt, attempt.tokens);
    payFor(engine, attempt);
    engine.running.erase(found);
    deliverLater(engine, attempt.node, Dispatch::attempt_ended { attempt.number, Http::transfer_end::Complete, statusOk, {}, "stop" });
    serve(engine);
}

void fake_engines::cancel(size_t node, Common::attempt_number number)
{
    for (fake_engine& engine : m_engines) {
        std::erase_if(engine.waiting, [&](const fake_attempt& attempt) { return attempt.node == node && attempt.number == number; });
        const auto found = engine.running.find({ node, number.value });
        if (found == engine.running.end())
            continue;
        payFor(engine, found->second);
        engine.running.erase(found);
        serve(engine);
    }
}

void fake_engines::stop(fake_engine& engine)
{
    engine.isRunning = false;
    for (auto& [key, attempt] : engine.running) {
        giveDueTokens(engine, attempt);
        payFor(engine, attempt);
        deliverLater(engine, attempt.node, cut(attempt.number));
    }
    for (const fake_attempt& attempt : engine.waiting)
        deliverLater(engine, attempt.node, cut(attempt.number));
    engine.running.clear();
    engine.waiting.clear();
    engine.prefixes.clear();
}

void fake_engines::reclaimZone(const std::string& zone)
{
    for (fake_engine& engine : m_engines) {
        if (engine.info.zone.value == zone && engine.info.isReclaimable)
            stop(engine);
    }
}

void fake_engines::restoreAll()
{
    for (fake_engine& engine : m_engines)
        engine.isRunning = true;
}

void fake_engines::changePrices(const std::string& zone)
{
    for (fake_engine& engine : m_engines) {
        int64_t& price = engine.info.pricePerHour.value;
        price = engine.info.zone.value == zone ? price * 2 : price * 3 / 4;
    }
}

std::vector<Endpoints::instance_info> fake_engines::list() const
{
    std::vector<Endpoints::instance_info> running;
    for (const fake_engine& engine : m_engines) {
        if (engine.isRunning)
            running.push_back(engine.info);
    }
    return running;
}

std::vector<Endpoints::load_report> fake_engines::report() const
{
    std::vector<Endpoints::load_report> reports;
    for (const fake_engine& engine : m_engines)
        reports.push_back({ engine.info.id, static_cast<uint32_t>(engine.running.size()), static_cast<uint32_t>(engine.waiting.size()), false });
    return reports;
}

} // namespace Measure
