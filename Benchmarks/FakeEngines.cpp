#include "FakeEngines.h"

#include <algorithm>

namespace Measure {

namespace {

    constexpr uint32_t engineSlots = 8;
    constexpr double prefillSeconds = 0.18;
    constexpr double cachedPrefillSeconds = 0.05;
    constexpr double tokenSeconds = 0.020;
    constexpr double batchSlowdown = 0.5; ///< Relative increase of the time per token with a full batch.
    constexpr double tokenGroupInterval = 0.5; ///< Tokens are sent in groups, often enough for the node's stall detection.
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

    Dispatch::attempt_ended makeCutEnd(Common::attempt_number number)
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

double fake_engines::networkDelay(size_t node, const fake_engine& engine) const
{
    return engine.info.region.value == m_nodeRegions[node] ? sameRegionSeconds : crossRegionSeconds;
}

void fake_engines::deliverLater(const fake_engine& engine, size_t node, Dispatch::dispatch_message message)
{
    m_events.at(m_events.now() + networkDelay(node, engine), [this, node, message = std::move(message)]() mutable { m_deliver(node, std::move(message)); });
}

void fake_engines::start(size_t node, const Dispatch::start_attempt& action)
{
    fake_engine& engine = find(action.endpoint);
    if (!engine.isRunning) {
        deliverLater(engine, node, Dispatch::attempt_ended { action.attempt, Http::transfer_end::NotSent, 0, {}, {} });
        return;
    }
    m_events.at(m_events.now() + networkDelay(node, engine), [this, &engine, attempt = readAttempt(node, action)] {
        engine.waiting.push_back(attempt);
        startWaiting(engine);
    });
}

bool fake_engines::usePrefix(fake_engine& engine, uint32_t prefix)
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

void fake_engines::startWaiting(fake_engine& engine)
{
    while (engine.isRunning && !engine.waiting.empty() && engine.running.size() < engineSlots) {
        fake_attempt attempt = engine.waiting.front();
        engine.waiting.pop_front();
        const bool isCached = usePrefix(engine, attempt.prefix);
        (isCached ? m_totals.promptsCached : m_totals.promptsComputed) += 1;
        const double load = static_cast<double>(engine.running.size()) / engineSlots;
        attempt.beganAt = m_events.now();
        attempt.prefill = isCached ? cachedPrefillSeconds : prefillSeconds;
        attempt.interval = tokenSeconds * (1 + batchSlowdown * load);
        const attempt_key key { attempt.node, attempt.number.value };
        engine.running[key] = attempt;
        const double prefilledAt = m_events.now() + attempt.prefill;
        m_events.at(prefilledAt, [this, &engine, key] { sendFirstToken(engine, key); });
        m_events.at(prefilledAt + attempt.interval * attempt.tokens, [this, &engine, key] { finish(engine, key); });
    }
}

void fake_engines::sendTokens(fake_engine& engine, fake_attempt& attempt, int dueTokens)
{
    const int newTokens = std::min(dueTokens, attempt.tokens) - attempt.sentTokens;
    if (newTokens <= 0)
        return;
    attempt.sentTokens += newTokens;
    deliverLater(engine, attempt.node, Dispatch::attempt_tokens { attempt.number, std::vector<std::string>(static_cast<size_t>(newTokens), "t ") });
}

void fake_engines::sendDueTokens(fake_engine& engine, fake_attempt& attempt)
{
    const double decodeSeconds = m_events.now() - attempt.beganAt - attempt.prefill;
    sendTokens(engine, attempt, static_cast<int>(decodeSeconds / attempt.interval));
}

void fake_engines::sendFirstToken(fake_engine& engine, const attempt_key& key)
{
    const auto found = engine.running.find(key);
    if (found == engine.running.end())
        return;
    sendTokens(engine, found->second, 1);
    scheduleNextTokens(engine, key);
}

void fake_engines::scheduleNextTokens(fake_engine& engine, const attempt_key& key)
{
    m_events.at(m_events.now() + tokenGroupInterval, [this, &engine, key] {
        const auto found = engine.running.find(key);
        if (found == engine.running.end())
            return;
        sendDueTokens(engine, found->second);
        scheduleNextTokens(engine, key);
    });
}

void fake_engines::addCost(const fake_engine& engine, const fake_attempt& attempt)
{
    const double slotSeconds = m_events.now() - attempt.beganAt;
    m_totals.costMicro += slotSeconds * static_cast<double>(engine.info.pricePerHour.value) / secondsPerHour / engineSlots;
    if (engine.info.region.value != m_nodeRegions[attempt.node])
        m_totals.costMicro += attempt.sentTokens * crossRegionMicroPerToken;
}

void fake_engines::finish(fake_engine& engine, const attempt_key& key)
{
    const auto found = engine.running.find(key);
    if (found == engine.running.end())
        return;
    fake_attempt attempt = found->second;
    sendTokens(engine, attempt, attempt.tokens);
    addCost(engine, attempt);
    engine.running.erase(found);
    deliverLater(engine, attempt.node, Dispatch::attempt_ended { attempt.number, Http::transfer_end::Complete, statusOk, {}, "stop" });
    startWaiting(engine);
}

void fake_engines::cancel(size_t node, Common::attempt_number number)
{
    for (fake_engine& engine : m_engines) {
        std::erase_if(engine.waiting, [&](const fake_attempt& attempt) { return attempt.node == node && attempt.number == number; });
        const auto found = engine.running.find({ node, number.value });
        if (found == engine.running.end())
            continue;
        addCost(engine, found->second);
        engine.running.erase(found);
        startWaiting(engine);
    }
}

void fake_engines::stop(fake_engine& engine)
{
    engine.isRunning = false;
    for (auto& [key, attempt] : engine.running) {
        sendDueTokens(engine, attempt);
        addCost(engine, attempt);
        deliverLater(engine, attempt.node, makeCutEnd(attempt.number));
    }
    for (const fake_attempt& attempt : engine.waiting)
        deliverLater(engine, attempt.node, makeCutEnd(attempt.number));
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
