#include "Gateway/GatewayDuty.h"

#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Ring.h"
#include "Common/Text.h"
#include "Gateway/Admission.h"
#include "Gateway/AttemptOutcome.h"
#include "Gateway/Call.h"
#include "Gateway/CallLog.h"
#include "Gateway/ChannelPool.h"
#include "Gateway/Placing.h"

#include <atomic>
#include <unordered_map>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace Gateway {

namespace {

    using boost::asio::ip::tcp;
    using boost::system::error_code;

    constexpr size_t ringCapacity = 4096;
    /// Taken off an endpoint's time budget for the way back.
    constexpr milliseconds returnAllowance { 5 };
    /// Connecting within a region takes tens of milliseconds; a silent machine must not eat the time budget.
    constexpr milliseconds connectLimit { 400 };
    /// An attempt with less time left than this is not worth its arrival.
    constexpr milliseconds leastAttemptTime { 20 };
    /// Callers that were refused for want of an endpoint may come back after this.
    constexpr milliseconds retryWithoutEndpoint { 500 };
    /// A leaving node takes short requests this long: callers keep a directory answer for three times its life at most.
    constexpr double takesWorkShareOfGrace = 0.75;
    constexpr uint32_t mostUrgency = 9;

    Common::instant clockNow()
    {
        return std::chrono::steady_clock::now();
    }

    tcp::endpoint parseListenAddress(const std::string& address)
    {
        const size_t colon = address.rfind(':');
        const auto port = Common::parseUnsigned(address.substr(colon + 1)).value_or(0);
        return { boost::asio::ip::make_address(address.substr(0, colon)), static_cast<uint16_t>(port) };
    }

    std::string errorBody(std::string_view error)
    {
        return fmt::format("{{\"error\":\"{}\"}}", error);
    }

} // namespace

struct gateway_duty::implementation {
    gateway_settings settings;
    gateway_outlets outlets;
    boost::asio::io_context context { 1 };
    tcp::acceptor acceptor { context };
    boost::asio::steady_timer reportTimer { context };
    boost::asio::steady_timer leaveTimer { context };
    Common::ring<gateway_message> inbox { ringCapacity };
    std::vector<gateway_message> batch;
    session_events sessionEvents;
    channel_pool channels { context };
    std::unordered_set<caller_session_pointer> sessions;
    std::unordered_map<caller_session*, std::unique_ptr<call>> calls;
    std::atomic<size_t> callCount { 0 };
    uint64_t lastCall { 0 };

    gateway_state state;

    // --- Sessions

    void open()
    {
        const tcp::endpoint address = parseListenAddress(settings.facts.listen.callers);
        acceptor.open(address.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen(boost::asio::socket_base::max_listen_connections);
        accept();
    }

    void accept()
    {
        acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted)
                return;
            if (!error) {
                auto session = std::make_shared<caller_session>(std::move(socket), sessionEvents);
                sessions.insert(session);
                session->start();
            } else {
                Common::logEvent(Common::log_level::Warning, "accept_failed", { { "problem", error.message() } });
            }
            accept();
        });
    }

    void setSessionEvents()
    {
        sessionEvents.onRequest = [this](const caller_session_pointer& session, arrived_request&& request) { begin(session, std::move(request)); };
        sessionEvents.onGone = [this](caller_session& session) { abandon(session); };
        sessionEvents.onClosed = [this](caller_session& session) { sessions.erase(session.shared_from_this()); };
        sessionEvents.limits = [this] { return state.catalog ? state.catalog->limits : Catalog::input_limits {}; };
    }

    // --- A request from its arrival to its placement

    void begin(const caller_session_pointer& session, arrived_request&& request)
    {
        auto owned = std::make_unique<call>();
        call& item = *owned;
        item.id = { ++lastCall };
        item.session = session;
        item.arrived = clockNow();
        item.facts = settings.wire.readRequest(request.headers);
        item.request = std::move(request);
        calls[session.get()] = std::move(owned);
        callCount = calls.size();
        const std::optional<own_answer> refusal = admit(state, item);
        if (refusal)
            return refuse(item, *refusal);
        startTimer(item);
        place(item);
    }

    void startTimer(call& item)
    {
        item.timer = std::make_unique<boost::asio::steady_timer>(context, item.deadline);
        item.timer->async_wait([this, session = item.session.get(), id = item.id](const error_code& error) {
            if (error)
                return;
            call* late = find(session, id);
            if (late)
                expire(*late);
        });
    }

    void place(call& item)
    {
        const auto placed = choose(state, item, clockNow());
        if (placed)
            return send(item, *placed);
        if (item.progress.endpointsRun > 0 || item.progress.hasHeadSent)
            return failUnknown(item, Scheduling::nameOf(placed.error().reason));
        refuse(item, { 503, Scheduling::nameOf(placed.error().reason), placed.error().retryAfter });
    }

    // --- An attempt at an endpoint

    void send(call& item, const Scheduling::placement& where)
    {
        item.current.emplace();
        item.current->where = where;
        item.current->version = state.scheduler.endpoints.at(where.endpoint).facts.version;
        item.tried.insert(where.endpoint);
        ++item.sends;
        noteDemand(state, item);
        attempt_facts told;
        told.timeBudget = std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(item.deadline - clockNow()) - returnAllowance);
        told.endpoint = where.endpoint;
        told.account = item.account;
        if (item.facts.model)
            told.urgency = std::min(item.urgency, mostUrgency);
        if (item.events.lastId)
            told.resumeAfter = std::to_string(*item.events.lastId);
        item.current->channel = channels.take(where.address, item.route->kind == Catalog::route_kind::Idempotent);
        observe(item, attempt_seen::event::Begun);
        item.current->channel->exchange(writeRequest(item, settings.wire.writeAttempt(item.facts, told)), connectLimit, makeEvents(item));
    }

    exchange_events makeEvents(const call& item)
    {
        exchange_events events;
        caller_session* session = item.session.get();
        const call_id id = item.id;
        events.onHead = [this, session, id](int status, const std::vector<Http::header>& headers) {
            call* known = find(session, id);
            return known && takeHead(*known, status, headers);
        };
        events.onBytes = [this, session, id](std::string_view bytes) {
            call* known = find(session, id);
            if (known)
                takeBytes(*known, bytes);
        };
        events.onEnd = [this, session, id](exchange_end end, bool isReusable) {
            call* known = find(session, id);
            if (known)
                takeEnd(*known, end, isReusable);
        };
        return events;
    }

    bool takeHead(call& item, int status, const std::vector<Http::header>& headers)
    {
        attempt& current = *item.current;
        current.status = status;
        current.answer = settings.wire.readAnswer(headers);
        if (current.answer.load)
            Scheduling::noteStatedLoad(state.scheduler, current.where.endpoint, *current.answer.load, clockNow());
        current.isForeign = !item.facts.attemptId.empty() && !current.answer.attemptId.empty() && current.answer.attemptId != item.facts.attemptId;
        const bool isTrusted = !current.isForeign && current.answer.isSealed && !current.answer.hasContentEncoding;
        if (isSuccess(status) && !isTrusted)
            return false;
        current.hasEvents = isSuccess(status) && item.route->kind == Catalog::route_kind::Stream;
        return !current.isForeign;
    }

    void takeBytes(call& item, std::string_view bytes)
    {
        attempt& current = *item.current;
        if (!current.hasBegun)
            noteBegun(item);
        if (!current.hasEvents) {
            current.body += bytes;
            return;
        }
        const std::string events = takeEvents(item.events, bytes);
        if (events.empty())
            return;
        if (!item.progress.hasHeadSent) {
            item.progress.hasHeadSent = true;
            item.firstByteMs = toMs(clockNow() - item.arrived);
            item.session->beginStream(current.status, current.answer.passedOn, isLeaving());
        }
        item.session->streamBytes(events);
    }

    void noteBegun(call& item)
    {
        attempt& current = *item.current;
        current.hasBegun = true;
        if (current.answer.hasNotRun)
            return;
        const Common::instant now = clockNow();
        if (isSuccess(current.status))
            Scheduling::noteBegun(state.scheduler, current.where.endpoint, current.where.id, now);
        if (item.isCounted)
            return;
        item.isCounted = true;
        if (!item.account.value.empty())
            state.interval.begun.push_back({ item.account, now });
    }

    void takeEnd(call& item, exchange_end end, bool isReusable)
    {
        attempt& current = *item.current;
        if (isReusable)
            channels.giveBack(current.where.address, current.channel, current.answer.keepAlive);
        const attempt_end outcome = classify(item, end);
        if (outcome != attempt_end::NotSent && outcome != attempt_end::NotRun && !current.hasBegun)
            noteBegun(item);
        noteAttemptEnd(item, outcome);
        follow(item, outcome, decide(item, outcome));
    }

    void noteAttemptEnd(call& item, attempt_end outcome)
    {
        attempt& current = *item.current;
        Scheduling::noteEnded(state.scheduler, current.where.endpoint, current.where.id, placementEndOf(outcome), clockNow());
        Common::countMetric(fmt::format("filbertreel_attempts_total{{service=\"{}\",end=\"{}\"}}", item.service.value, nameOf(outcome)));
        observe(item, seenEventOf(item, outcome, clockNow()));
        if (outcome == attempt_end::NotSent || outcome == attempt_end::NotRun)
            ++item.progress.refusals;
        else
            ++item.progress.endpointsRun;
    }

    void observe(const call& item, attempt_seen::event what) const
    {
        if (outlets.attemptSeen && state.versionShares.contains(item.service))
            outlets.attemptSeen({ item.service, item.current->version, item.route->name, what });
    }

    next_step decide(call& item, attempt_end outcome)
    {
        item.progress.hasTimeLeft = item.deadline - clockNow() > leastAttemptTime;
        next_step step = decideNext(item.progress, outcome);
        if (step != next_step::TryAnother || Limits::takeRepeat(state.repeats, item.service, clockNow()))
            return step;
        Common::countMetric("filbertreel_repeats_refused_total");
        item.progress.hasTimeLeft = false;
        return decideNext(item.progress, outcome);
    }

    void follow(call& item, attempt_end outcome, next_step step)
    {
        switch (step) {
        case next_step::TryAnother:
        case next_step::TryAnotherFreely:
            logAttempt(item, outcome);
            if (item.progress.hasHeadSent)
                beginResumption(item.events);
            return place(item);
        case next_step::GiveAnswer:
            return giveAnswer(item);
        case next_step::Refuse:
            return refuse(item, { 503, nameOf(outcome), retryWithoutEndpoint });
        case next_step::FailUnknown:
            return failUnknown(item, nameOf(outcome));
        case next_step::FailTimeout:
            return fail(item, 504, nameOf(outcome));
        case next_step::CutAnswer:
            return cut(item, nameOf(outcome));
        }
    }

    // --- Ends of a request

    void giveAnswer(call& item)
    {
        attempt& current = *item.current;
        if (item.progress.hasHeadSent) {
            item.session->endStream();
        } else {
            item.firstByteMs = toMs(clockNow() - item.arrived);
            item.session->respond(current.status, current.answer.passedOn, current.body, isLeaving());
        }
        finish(item, "answered", current.status);
    }

    void refuse(call& item, const own_answer& answer)
    {
        if (item.granted > 0)
            Quota::giveBack(state.quota, item.account, item.granted);
        Common::countMetric(fmt::format("filbertreel_refusals_total{{reason=\"{}\"}}", answer.reason));
        std::optional<milliseconds> retryAfter = answer.retryAfter;
        if (retryAfter && item.facts.timeBudget)
            retryAfter = std::min(*retryAfter, *item.facts.timeBudget / 3);
        item.session->respond(answer.status, settings.wire.writeOwnAnswer(item.facts, retryAfter), errorBody(answer.reason), isLeaving());
        finish(item, answer.reason, answer.status);
    }

    void failUnknown(call& item, std::string_view reason)
    {
        if (item.progress.hasHeadSent)
            return cut(item, reason);
        fail(item, 502, reason);
    }

    void fail(call& item, int status, std::string_view reason)
    {
        item.session->respond(status, settings.wire.writeOwnAnswer(item.facts, {}), errorBody(reason), isLeaving());
        finish(item, reason, status);
    }

    void cut(call& item, std::string_view reason)
    {
        const caller_session_pointer session = item.session;
        finish(item, reason, 0);
        session->abort();
    }

    void expire(call& item)
    {
        if (!item.current || !item.current->channel) {
            return refuse(item, { 503, "too_late", {} });
        }
        item.current->channel->cancel();
        noteAttemptEnd(item, attempt_end::TimedOut);
        follow(item, attempt_end::TimedOut, decideNext(item.progress, attempt_end::TimedOut));
    }

    void abandon(caller_session& session)
    {
        const auto found = calls.find(&session);
        if (found == calls.end())
            return;
        call& item = *found->second;
        if (item.current && item.current->channel) {
            item.current->channel->cancel();
            Scheduling::noteEnded(state.scheduler, item.current->where.endpoint, item.current->where.id, Scheduling::placement_end::Abandoned, clockNow());
            observe(item, attempt_seen::event::Abandoned);
        }
        finish(item, "caller_gone", 0);
    }

    void finish(call& item, std::string_view outcome, int status)
    {
        logEnd(item, outcome, status, clockNow());
        if (item.route)
            Common::countMetric(fmt::format("filbertreel_requests_total{{route=\"{}\",outcome=\"{}\"}}", item.route->name.value, outcome));
        if (item.firstByteMs > 0)
            Common::observeMetric("filbertreel_first_byte_seconds", item.firstByteMs / 1000);
        calls.erase(item.session.get());
        callCount = calls.size();
    }

    call* find(caller_session* session, call_id id)
    {
        const auto found = calls.find(session);
        return found != calls.end() && found->second->id == id ? found->second.get() : nullptr;
    }

    // --- What other duties tell

    void takeMessages()
    {
        inbox.drainInto(batch);
        for (gateway_message& message : batch)
            std::visit([this](auto& item) { take(item); }, message);
    }

    template <typename message_type>
    void take(const message_type& message)
    {
        learn(state, message, clockNow());
    }

    void take(const leave_begun& message)
    {
        if (isLeaving())
            return;
        learn(state, message, clockNow());
        leaveTimer.expires_after(std::chrono::duration_cast<milliseconds>(state.grace * takesWorkShareOfGrace));
        leaveTimer.async_wait([this](const error_code& error) {
            if (error)
                return;
            for (const caller_session_pointer& session : std::vector<caller_session_pointer>(sessions.begin(), sessions.end()))
                session->closeWhenIdle();
        });
    }

    bool isLeaving() const
    {
        return state.leavingSince.has_value();
    }

    // --- Reports to other duties

    void reportLater()
    {
        reportTimer.expires_after(reportWait(state));
        reportTimer.async_wait([this](const error_code& error) {
            if (error)
                return;
            outlets.report(takeReport(state, settings.facts, settings.incarnation, calls.size(), clockNow()));
            reportLater();
        });
    }
};

gateway_duty::gateway_duty(gateway_settings settings, gateway_outlets outlets)
    : m_implementation(std::make_unique<implementation>())
{
    implementation& self = *m_implementation;
    self.settings = std::move(settings);
    self.outlets = std::move(outlets);
    self.state = makeGatewayState(self.settings.facts, self.settings.seed);
    self.setSessionEvents();
    self.inbox.setWaker([&self] { boost::asio::post(self.context, [&self] { self.takeMessages(); }); });
}

gateway_duty::~gateway_duty() = default;

bool gateway_duty::submit(gateway_message&& message)
{
    return m_implementation->inbox.push(message);
}

void gateway_duty::run()
{
    m_implementation->open();
    m_implementation->reportLater();
    m_implementation->context.run();
}

void gateway_duty::stop()
{
    m_implementation->context.stop();
}

size_t gateway_duty::inFlight() const
{
    return m_implementation->callCount;
}

} // namespace Gateway
