#include "Gateway/GatewayDuty.h"

#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Text.h"
#include "Gateway/Admission.h"
#include "Gateway/AllowanceQueue.h"
#include "Gateway/AttemptOutcome.h"
#include "Gateway/BrittleEndpoints.h"
#include "Gateway/Call.h"
#include "Gateway/CallLog.h"
#include "Gateway/ChannelPool.h"
#include "Gateway/CrashWatch.h"
#include "Gateway/EndpointDeclarations.h"
#include "Gateway/HeldBytes.h"
#include "Gateway/InputBudget.h"
#include "Gateway/Leaving.h"
#include "Gateway/PathMonitor.h"
#include "Gateway/Placement.h"
#include "Gateway/Relay.h"

#include <algorithm>
#include <atomic>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace Gateway {

namespace {

    using boost::asio::ip::tcp;
    using boost::system::error_code;

    constexpr size_t ringCapacity = 4096;
    /// Subtracted from the time budget sent to an endpoint, to leave time for the response's way back.
    constexpr milliseconds responseTimeMargin { 5 };
    /// Connecting within a region takes tens of milliseconds; an unreachable machine must not use up the time budget.
    constexpr milliseconds connectTimeout { 400 };
    /// With less time left than this, no further attempt is made.
    constexpr milliseconds minAttemptTime { 20 };
    constexpr uint32_t leastUrgentLevel = 9;
    /// An attempt without a response for this time may have no path.
    constexpr milliseconds minSilence { 300 };
    /// A request waits no longer than this for the owner of an endpoint's limit to answer.
    constexpr milliseconds maxTokenWait { 400 };
    /// An event is forwarded when it is complete, so an endless one would fill the memory.
    constexpr size_t maxEventBytes = size_t { 256 } * 1024;
    constexpr milliseconds acceptRetryDelay { 50 };

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

    /// @return whether the request has one of the fingerprints and no endpoint has begun to answer it.
    bool isRecallable(const proxied_call& call, const std::set<Quarantine::fingerprint>& fingerprints)
    {
        if (call.isTrial || !call.currentAttempt || !call.currentAttempt->channel || call.currentAttempt->headReceived)
            return false;
        return std::any_of(call.fingerprints.begin(), call.fingerprints.end(), [&](Quarantine::fingerprint item) { return fingerprints.contains(item); });
    }

    /// @return whether a request is rejected for the state of this node alone.
    bool isOfNodeItself(const request_rejection& rejection)
    {
        return rejection.reason == notReadyReason || rejection.reason == leavingReason;
    }

    void callIfSet(const std::function<void()>& outlet)
    {
        if (outlet)
            outlet();
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
    gateway_inbox inbox { ringCapacity };
    std::vector<gateway_message> batch;
    session_events sessionEvents;
    channel_pool channels { context };
    std::unordered_map<uint64_t, caller_session_pointer> sessions; ///< By connection_id.
    connection_id lastConnection;
    input_budget input;
    boost::asio::steady_timer acceptTimer { context };
    std::unordered_map<caller_session*, std::unique_ptr<proxied_call>> calls;
    std::atomic<size_t> callCount { 0 };
    size_t unsummedBytes { 0 }; ///< Received from endpoints since the bytes held were summed up last.
    uint64_t lastCallId { 0 };

    gateway_state state;
    crash_watch crashes { context, state };
    path_monitor paths { context, state };
    leaving_sequence leaving { context, state };
    allowance_queue allowances { context, state };
    std::vector<std::pair<caller_session*, call_id>> waitingForToken; ///< Oldest first; may contain requests that have ended.

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
            if (!error)
                startSession(std::move(socket));
            else if (!acceptor.is_open())
                return;
            else
                return acceptLater(error);
            accept();
        });
    }

    /// Without free descriptors another try would fail at once.
    void acceptLater(const error_code& failure)
    {
        Common::logEvent(Common::log_level::Warning, "accept_failed", { { "problem", failure.message() } });
        acceptTimer.expires_after(acceptRetryDelay);
        acceptTimer.async_wait([this](const error_code& error) {
            if (!error && acceptor.is_open())
                accept();
        });
    }

    void startSession(tcp::socket socket)
    {
        ++lastConnection.value;
        auto session = std::make_shared<caller_session>(std::move(socket), sessionEvents, lastConnection);
        sessions.emplace(lastConnection.value, session);
        session->start();
        closeExcessConnections();
    }

    input_bounds currentInputBounds() const
    {
        return makeInputBounds(settings.facts.limits, sessionEvents.limits());
    }

    void closeExcessConnections()
    {
        while (const auto excess = chooseExcessConnection(input, currentInputBounds(), clockNow())) {
            Common::countMetric("filbertreel_connections_closed_for_descriptors_total");
            const auto found = sessions.find(excess->value);
            const caller_session_pointer session = found == sessions.end() ? nullptr : found->second;
            releaseInput(input, *excess);
            if (session)
                session->abort();
        }
    }

    /// @return false if the session's own request has to be refused.
    bool recordSessionInput(const caller_session& session, input_stage stage, size_t bytes)
    {
        recordInput(input, session.id(), stage, bytes, clockNow());
        while (const auto excess = chooseExcessRequest(input, currentInputBounds(), clockNow())) {
            Common::countMetric("filbertreel_requests_refused_for_memory_total");
            // Its memory is given back before anything else is read.
            recordInput(input, *excess, input_stage::Answering, 0, clockNow());
            if (*excess == session.id())
                return false;
            const auto found = sessions.find(excess->value);
            if (found != sessions.end())
                found->second->refuseInput();
        }
        return true;
    }

    /// Serves the connections that the system has accepted for this process, and then accepts no more.
    void closeListener()
    {
        error_code error;
        acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(context);
            acceptor.accept(socket, error);
            if (!error)
                startSession(std::move(socket));
        }
        acceptor.close(error);
    }

    void setSessionEvents()
    {
        sessionEvents.onRequest = [this](const caller_session_pointer& session, arrived_request&& request) { handleRequest(session, std::move(request)); };
        sessionEvents.onCallerDisconnected = [this](caller_session& session) { abandon(session); };
        sessionEvents.onClosed = [this](caller_session& session) {
            releaseInput(input, session.id());
            sessions.erase(session.id().value);
        };
        sessionEvents.onInput = [this](caller_session& session, input_stage stage, size_t bytes) { return recordSessionInput(session, stage, bytes); };
        sessionEvents.limits = [this] { return state.catalog ? state.catalog->limits : Catalog::input_limits {}; };
    }

    // --- From the arrival of a request to its placement

    void handleRequest(const caller_session_pointer& session, arrived_request&& request)
    {
        auto owned = std::make_unique<proxied_call>();
        proxied_call& call = *owned;
        call.id = { ++lastCallId };
        call.session = session;
        call.arrived = clockNow();
        call.facts = settings.wire.readRequest(request.headers);
        call.request = std::move(request);
        calls[session.get()] = std::move(owned);
        callCount = calls.size();
        const std::optional<request_rejection> rejection = admit(state, call);
        crashes.flush();
        allowances.flush();
        if (rejection)
            return refuse(call, *rejection);
        startTimer(call);
        if (call.isAwaitingLease)
            return allowances.add(call);
        place(call);
    }

    void startTimer(proxied_call& call)
    {
        call.timer = std::make_unique<boost::asio::steady_timer>(context, call.deadline);
        call.timer->async_wait([this, session = call.session.get(), id = call.id](const error_code& error) {
            if (error)
                return;
            proxied_call* expired = find(session, id);
            if (expired)
                expire(*expired);
        });
    }

    void place(proxied_call& call)
    {
        if (paths.areLost(call.service) && placeWithoutPaths(call))
            return;
        auto placed = choosePlacement(state, call, clockNow());
        const bool hasNewTokens = requestTokens();
        if (!placed && placed.error().reason == Scheduling::refusal_reason::Limited && hasNewTokens)
            placed = choosePlacement(state, call, clockNow());
        if (placed)
            return startCharged(call, *placed);
        if (relayToUser(call, placed.error()))
            return;
        if (mayWaitForToken(state, call, placed.error(), clockNow()))
            return waitForToken(call);
        if (call.progress.endpointsRun > 0 || call.progress.hasHeadSent)
            return failUnknown(call, Scheduling::nameOf(placed.error().reason));
        refuse(call, rejectUnplaced(placed.error()));
    }

    // --- Relays through other nodes, while this one reaches no endpoint

    /// @return whether the request was relayed or refused; an endpoint is tried if no other node can relay it.
    bool placeWithoutPaths(proxied_call& call)
    {
        const bool mayHaveRun = call.progress.endpointsRun > 0 || call.progress.hasHeadSent;
        if (call.facts.relayedEndpoints) {
            if (!mayHaveRun)
                refuseWithoutPath(call);
            return !mayHaveRun;
        }
        const std::optional<relay_peer> peer = chooseRelay(state, call, {}, clockNow());
        if (peer)
            startRelay(call, *peer);
        return peer.has_value();
    }

    /// Relays a request that only brittle endpoints can serve to a node that uses one of them.
    bool relayToUser(proxied_call& call, const Scheduling::refusal& refusal)
    {
        const std::set<Common::node_id> users = findUsers(state, refusal.limited);
        if (users.empty() || call.facts.relayedEndpoints || call.progress.hasHeadSent)
            return false;
        const std::optional<relay_peer> peer = chooseRelay(state, call, users, clockNow());
        if (peer)
            startRelay(call, *peer);
        return peer.has_value();
    }

    void startRelay(proxied_call& call, const relay_peer& peer)
    {
        leaveChargeToRelay(state, call);
        attempt& current = beginAttempt(call, peer.address);
        current.relayedTo = peer.node;
        call.triedRelays.insert(peer.node);
        Common::countMetric("filbertreel_relays_total");
        const uint32_t endpointsLeft = call.progress.maxEndpoints - std::min(call.progress.maxEndpoints - 1, call.progress.endpointsRun);
        current.channel->exchange(writeRequest(call, settings.wire.writeRelayed(call.facts, makeAttemptFacts(call), endpointsLeft)), connectTimeout, makeEvents(call));
    }

    void refuseWithoutPath(proxied_call& call)
    {
        constexpr std::string_view reason = "no_path";
        refundAllowance(state, call);
        call.session->respond(503, settings.wire.writeNoPathResponse(call.facts), errorBody(reason), isLeaving());
        finish(call, reason, 503);
    }

    // --- Tokens of limited endpoints

    /// @return whether this node has granted tokens to itself.
    bool requestTokens()
    {
        const bool hasTokens = EndpointLimits::requestTokens(state.endpointLimits, clockNow());
        sendEndpointLimits();
        return hasTokens;
    }

    void sendEndpointLimits()
    {
        auto messages = std::exchange(state.endpointLimits.outgoing, {});
        if (!messages.empty() && outlets.sendEndpointLimits)
            outlets.sendEndpointLimits(std::move(messages));
    }

    void waitForToken(proxied_call& call)
    {
        if (!call.tokenWaitEnd)
            call.tokenWaitEnd = clockNow() + maxTokenWait;
        waitingForToken.emplace_back(call.session.get(), call.id);
        call.tokenTimer = std::make_unique<boost::asio::steady_timer>(context, *call.tokenWaitEnd);
        call.tokenTimer->async_wait([this, session = call.session.get(), id = call.id](const error_code& error) {
            proxied_call* waiting = error ? nullptr : find(session, id);
            if (!waiting || waiting->attemptCount > 0)
                return;
            waiting->tokenTimer.reset();
            place(*waiting);
        });
    }

    /// Places the waiting requests in the order of their arrival; those that may still get a token go on waiting.
    void placeWaiting()
    {
        for (const auto& [session, id] : std::exchange(waitingForToken, {})) {
            proxied_call* call = find(session, id);
            if (!call || call->attemptCount > 0 || !call->tokenTimer)
                continue;
            call->tokenTimer.reset();
            place(*call);
        }
    }

    // --- An attempt at an endpoint

    attempt& beginAttempt(proxied_call& call, const std::string& address)
    {
        attempt& current = call.currentAttempt.emplace();
        current.placement.address = address;
        current.begun = clockNow();
        current.events = makeEventReader(call.position);
        ++call.attemptCount;
        // Only a request with an id of its own can be told apart from an earlier one on the same connection.
        const bool mayReuse = call.route->kind == Catalog::route_kind::Idempotent && !call.facts.attemptId.empty();
        current.channel = channels.acquire(address, mayReuse);
        return current;
    }

    attempt_facts makeAttemptFacts(const proxied_call& call) const
    {
        attempt_facts facts;
        facts.timeBudget = std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(call.deadline - clockNow()) - responseTimeMargin);
        facts.endpoint = call.currentAttempt->placement.endpoint;
        facts.account = call.account;
        if (call.facts.model)
            facts.urgency = std::min(call.urgency, leastUrgentLevel);
        if (call.position.lastId)
            facts.resumeAfter = std::to_string(*call.position.lastId);
        return facts;
    }

    void startCharged(proxied_call& call, const Scheduling::placement& placement)
    {
        const std::optional<request_rejection> rejection = chargeAfterRelay(state, call, clockNow());
        allowances.flush();
        if (!rejection)
            return startAttempt(call, placement);
        Scheduling::recordEnd(state.scheduler, placement.endpoint, placement.id, Scheduling::placement_end::Abandoned, clockNow());
        refuse(call, *rejection);
    }

    void startAttempt(proxied_call& call, const Scheduling::placement& placement)
    {
        attempt& current = beginAttempt(call, placement.address);
        current.placement = placement;
        const Fleet::endpoint& endpoint = state.scheduler.endpoints.at(placement.endpoint).facts;
        current.version = endpoint.version;
        current.started = endpoint.started;
        call.triedEndpoints.insert(placement.endpoint);
        recordDemand(state, call);
        if (EndpointLimits::findRate(state.endpointLimits, { placement.endpoint, placement.started }, clockNow()) > 0)
            Common::countMetric("filbertreel_attempts_at_limited_endpoints_total");
        reportAttemptEvent(call, attempt_report::event::Begun);
        current.channel->exchange(writeRequest(call, settings.wire.writeAttempt(call.facts, makeAttemptFacts(call))), connectTimeout, makeEvents(call));
    }

    exchange_events makeEvents(const proxied_call& call)
    {
        exchange_events events;
        caller_session* session = call.session.get();
        const call_id id = call.id;
        events.onHead = [this, session, id](const response_head& head) {
            proxied_call* activeCall = find(session, id);
            return activeCall && handleHead(*activeCall, head);
        };
        events.onBytes = [this, session, id](std::string_view bytes) {
            proxied_call* activeCall = find(session, id);
            return activeCall && handleBytes(*activeCall, bytes);
        };
        events.surplusWait = [this, session, id] {
            const proxied_call* activeCall = find(session, id);
            return activeCall && !activeCall->currentAttempt->hasEvents ? surplusWait(activeCall->currentAttempt->boundary) : milliseconds(0);
        };
        events.onEnd = [this, session, id](const exchange_result& result) {
            proxied_call* activeCall = find(session, id);
            if (activeCall)
                handleEnd(*activeCall, result);
        };
        return events;
    }

    bool handleHead(proxied_call& call, const response_head& head)
    {
        attempt& current = *call.currentAttempt;
        current.status = head.status;
        current.headReceived = clockNow();
        current.framing = head.framing;
        current.isConnectionReused = head.isConnectionReused;
        current.response = settings.wire.readResponse(head.headers);
        current.isForOtherRequest = isForOtherRequest(call);
        if (!current.relayedTo && applyDeclarations(state, call, clockNow()) && outlets.endpointLeaving)
            outlets.endpointLeaving(current.placement.endpoint, current.placement.started);
        sendEndpointLimits();
        const bool isTrusted = !current.isForOtherRequest && current.response.hasProofOfOrigin && !current.response.hasContentEncoding;
        if (isSuccess(head.status) && !isTrusted)
            return false;
        current.hasEvents = isSuccess(head.status) && !current.response.hasNotRun && call.route->kind == Catalog::route_kind::Stream
            && (current.response.isEventStream || !call.progress.hasHeadSent);
        return !current.isForOtherRequest;
    }

    /// @return false if the endpoint has sent more than an answer can hold, or a second answer inside the first.
    bool handleBytes(proxied_call& call, std::string_view bytes)
    {
        attempt& current = *call.currentAttempt;
        if (!current.isStartRecorded)
            recordStart(call);
        if (!current.hasEvents) {
            scanBody(current.boundary, bytes, settings.wire);
            current.body += bytes;
            return current.body.size() <= call.catalog->limits.bodyBytes && keepsWithinMemory(call, bytes.size());
        }
        const std::string events = extractEvents(current.events, call.position, bytes);
        if (!events.empty())
            forwardEvents(call, events);
        if (current.events.isInvalid)
            logSecondResponse(call);
        return !current.events.isInvalid && current.events.partial.size() <= maxEventBytes && keepsWithinMemory(call, bytes.size());
    }

    /// @param received bytes that have just arrived for the request.
    /// @return false if the responses in progress hold more than this node may, and this one holds the most.
    bool keepsWithinMemory(const proxied_call& call, size_t received)
    {
        const size_t limit = maxHeldBytes(settings.facts.limits);
        unsummedBytes += received;
        if (unsummedBytes < limit / sumsPerLimit)
            return true;
        unsummedBytes = 0;
        const held_bytes held = sumHeldBytes(calls);
        Common::setMetric("filbertreel_response_bytes_held", static_cast<double>(held.total));
        if (held.total <= limit || !held.largest)
            return true;
        logHeldTooMuch(*held.largest, held);
        if (held.largest == &call)
            return false;
        // Posted, because the other request may be in the middle of a step now.
        boost::asio::post(context, [this, session = held.largest->session.get(), id = held.largest->id, attempts = held.largest->attemptCount] {
            proxied_call* largest = find(session, id);
            if (largest && largest->attemptCount == attempts && largest->currentAttempt && largest->currentAttempt->channel)
                breakResponse(*largest);
        });
        return true;
    }

    /// Ends the attempt as if its endpoint had broken the response off.
    void breakResponse(proxied_call& call)
    {
        call.currentAttempt->channel->cancel();
        watchAttemptGivenUp(call);
        recordAttemptEnd(call, attempt_end::Broken);
        performStep(call, attempt_end::Broken, decideWithinRetryBudget(call, attempt_end::Broken));
    }

    void forwardEvents(proxied_call& call, std::string_view events)
    {
        attempt& current = *call.currentAttempt;
        if (!call.progress.hasHeadSent) {
            call.progress.hasHeadSent = true;
            call.firstByteMs = toMs(clockNow() - call.arrived);
            call.session->beginStream(current.status, current.response.forwardedHeaders, isLeaving());
        }
        call.progress.isResumable = call.route->isResumable && !call.position.hasUnnumberedEvents;
        call.session->streamBytes(events);
    }

    void recordStart(proxied_call& call)
    {
        attempt& current = *call.currentAttempt;
        current.isStartRecorded = true;
        if (!waitingForToken.empty())
            boost::asio::post(context, [this] { placeWaiting(); });
        if (current.response.hasNotRun || current.relayedTo)
            return;
        const Common::instant now = clockNow();
        if (isSuccess(current.status)) {
            Scheduling::recordFirstEvent(state.scheduler, current.placement.endpoint, current.placement.id, now);
            reportAttemptEvent(call, attempt_report::event::FirstEvent);
        }
        if (call.isUsageRecorded)
            return;
        call.isUsageRecorded = true;
        if (!call.account.value.empty())
            state.interval.begun.push_back({ call.account, now });
    }

    void handleEnd(proxied_call& call, const exchange_result& result)
    {
        attempt& current = *call.currentAttempt;
        attempt_end outcome = classify(call, result.end);
        const bool isCutInHead = current.framing == body_framing::ConnectionEnd && endsInsideHead(current.boundary);
        if (!current.hasEvents && (isCutInHead || runsIntoResponse(current.boundary, result.surplus))) {
            logSecondResponse(call);
            outcome = attempt_end::Broken;
        }
        if (result.hasSurplusBytes || current.isForOtherRequest)
            channels.distrust(current.placement.address);
        if (result.isReusable && outcome != attempt_end::Broken)
            channels.release(current.placement.address, current.channel, current.response.keepAlive);
        if (outcome != attempt_end::NotSent && outcome != attempt_end::NotRun && !current.isStartRecorded)
            recordStart(call);
        recordAttemptEnd(call, outcome);
        watchAttemptEnd(call, result.end, outcome);
        if (outcome == attempt_end::Answered && isSuccess(current.status) && current.headReceived)
            recordFinish(state.finishTimes, call.route->name, call.facts.model, toMs(*current.headReceived - call.arrived), toMs(clockNow() - call.arrived));
        performStep(call, outcome, decideWithinRetryBudget(call, outcome));
    }

    /// Tells what the end of an attempt says about crashes and paths.
    void watchAttemptEnd(const proxied_call& call, exchange_end end, attempt_end outcome)
    {
        const attempt& current = *call.currentAttempt;
        if (current.relayedTo)
            return recordRelayEnd(state, call, outcome, clockNow());
        if (!current.headReceived)
            paths.suspect(call.service, clockNow());
        spareAfterRejection(state, call, outcome, clockNow());
        // Without paths an endpoint's end can't be told from the cut, and a brittle one falls without a request's fault.
        const bool isBroken = outcome == attempt_end::Broken || outcome == attempt_end::Failed;
        if (!paths.areLost(call.service) && !(isBroken && isAtBrittleEndpoint(state, call)))
            crashes.attemptEnded(call, end, outcome, clockNow());
    }

    /// The same of an attempt that is cancelled.
    void watchAttemptGivenUp(const proxied_call& call)
    {
        const attempt& current = *call.currentAttempt;
        if (current.relayedTo)
            return recordRelayEnd(state, call, attempt_end::TimedOut, clockNow());
        if (!current.headReceived && clockNow() - current.begun > minSilence)
            paths.suspect(call.service, clockNow());
        if (!paths.areLost(call.service) && !isAtBrittleEndpoint(state, call))
            crashes.attemptGivenUp(call, clockNow());
    }

    void recordAttemptEnd(proxied_call& call, attempt_end outcome)
    {
        attempt& current = *call.currentAttempt;
        Scheduling::recordEnd(state.scheduler, current.placement.endpoint, current.placement.id, placementEndOf(outcome), clockNow());
        Common::countMetric(fmt::format("filbertreel_attempts_total{{service=\"{}\",end=\"{}\"}}", call.service.value, nameOf(outcome)));
        reportAttemptEvent(call, versionEventOf(call, outcome, !paths.areLost(call.service), clockNow()));
        // The number of relays has a bound of its own.
        if (outcome == attempt_end::NotSent && call.currentAttempt->relayedTo)
            return;
        if (outcome == attempt_end::NotSent || outcome == attempt_end::NotRun)
            ++call.progress.refusals;
        else
            // Another node may have sent it to as many endpoints as are allowed.
            call.progress.endpointsRun += call.currentAttempt->relayedTo ? call.progress.maxEndpoints : 1;
    }

    void reportAttemptEvent(const proxied_call& call, attempt_report::event event) const
    {
        if (!outlets.reportAttempt || call.currentAttempt->relayedTo || !state.versionShares.contains(call.service))
            return;
        const attempt& current = *call.currentAttempt;
        outlets.reportAttempt({ call.service, current.version, call.route->name, event, current.placement.id, current.placement.expectedMs, endpointMs(current, clockNow()) });
    }

    next_step decideWithinRetryBudget(proxied_call& call, attempt_end outcome)
    {
        call.progress.hasTimeLeft = call.deadline - clockNow() > minAttemptTime;
        next_step step = decideNext(call.progress, outcome);
        if (step != next_step::Retry || Limits::spendServiceRetry(state.serviceRetries, call.service, clockNow()))
            return step;
        Common::countMetric("filbertreel_repeats_refused_total");
        call.progress.hasTimeLeft = false;
        return decideNext(call.progress, outcome);
    }

    void performStep(proxied_call& call, attempt_end outcome, next_step step)
    {
        switch (step) {
        case next_step::Retry:
        case next_step::RetryUnbudgeted:
            logRetry(call, outcome);
            return place(call);
        case next_step::ForwardResponse:
            return forwardResponse(call);
        case next_step::Refuse:
            return refuse(call, rejectNotRun(state, call, outcome, clockNow()));
        case next_step::FailUnknown:
            return failUnknown(call, nameOf(outcome));
        case next_step::FailTimeout:
            return fail(call, 504, nameOf(outcome));
        case next_step::AbortResponse:
            return abortResponse(call, nameOf(outcome));
        }
    }

    // --- Ending a request

    void forwardResponse(proxied_call& call)
    {
        attempt& current = *call.currentAttempt;
        if (call.progress.hasHeadSent) {
            call.session->endStream();
        } else {
            call.firstByteMs = toMs(clockNow() - call.arrived);
            call.session->respond(current.status, current.response.forwardedHeaders, current.body, isLeaving());
        }
        finish(call, "answered", current.status);
    }

    void refuse(proxied_call& call, const request_rejection& rejection)
    {
        // Another node can relay the request instead.
        if (call.facts.relayedEndpoints && call.attemptCount == 0 && isOfNodeItself(rejection))
            return refuseWithoutPath(call);
        refundAllowance(state, call);
        Common::countMetric(fmt::format("filbertreel_refusals_total{{reason=\"{}\"}}", rejection.reason));
        std::optional<milliseconds> retryAfter = rejection.retryAfter;
        if (retryAfter && call.facts.timeBudget && !rejection.isRetryTimeExact)
            retryAfter = std::min(*retryAfter, *call.facts.timeBudget / 3);
        call.session->respond(rejection.status, settings.wire.writeGatewayResponse(call.facts, retryAfter), errorBody(rejection.reason), isLeaving());
        finish(call, rejection.reason, rejection.status);
    }

    void failUnknown(proxied_call& call, std::string_view reason)
    {
        if (call.progress.hasHeadSent)
            return abortResponse(call, reason);
        fail(call, 502, reason);
    }

    void fail(proxied_call& call, int status, std::string_view reason)
    {
        call.session->respond(status, settings.wire.writeGatewayResponse(call.facts, {}), errorBody(reason), isLeaving());
        finish(call, reason, status);
    }

    void abortResponse(proxied_call& call, std::string_view reason)
    {
        const caller_session_pointer session = call.session;
        finish(call, reason, 0);
        session->abort();
    }

    void expire(proxied_call& call)
    {
        if (!call.currentAttempt || !call.currentAttempt->channel) {
            return refuse(call, { 503, "too_late", {} });
        }
        call.currentAttempt->channel->cancel();
        watchAttemptGivenUp(call);
        recordAttemptEnd(call, attempt_end::TimedOut);
        performStep(call, attempt_end::TimedOut, decideNext(call.progress, attempt_end::TimedOut));
    }

    void abandon(caller_session& session)
    {
        const auto found = calls.find(&session);
        if (found == calls.end())
            return;
        proxied_call& call = *found->second;
        if (call.currentAttempt && call.currentAttempt->channel)
            cancelAttempt(call);
        finish(call, "caller_gone", 0);
    }

    /// Ends an attempt for a reason that says nothing about its endpoint.
    void cancelAttempt(proxied_call& call)
    {
        const attempt& current = *call.currentAttempt;
        current.channel->cancel();
        watchAttemptGivenUp(call);
        Scheduling::recordEnd(state.scheduler, current.placement.endpoint, current.placement.id, Scheduling::placement_end::Abandoned, clockNow());
        reportAttemptEvent(call, attempt_report::event::Abandoned);
    }

    /// Posted, because a request may be in the middle of a step now.
    void scheduleRecall(const std::set<Quarantine::fingerprint>& fingerprints)
    {
        boost::asio::post(context, [this, fingerprints] {
            std::vector<std::pair<caller_session*, call_id>> recalled;
            for (const auto& [session, call] : calls) {
                if (isRecallable(*call, fingerprints))
                    recalled.emplace_back(session, call->id);
            }
            for (const auto& [session, id] : recalled)
                recall(*find(session, id));
        });
    }

    /// Takes a request away from the endpoint at which it may still be waiting.
    void recall(proxied_call& call)
    {
        cancelAttempt(call);
        ++call.progress.endpointsRun;
        const Scheduling::refusal refusal { Scheduling::refusal_reason::Quarantined, Quarantine::firstTrialInterval };
        if (call.progress.mayRetry && !call.progress.hasHeadSent)
            return refuse(call, rejectUnplaced(refusal));
        failUnknown(call, Scheduling::nameOf(refusal.reason));
    }

    void finish(proxied_call& call, std::string_view outcome, int status)
    {
        logEnd(call, outcome, status, clockNow());
        if (call.route)
            Common::countMetric(fmt::format("filbertreel_requests_total{{route=\"{}\",outcome=\"{}\"}}", call.route->name.value, outcome));
        if (call.firstByteMs > 0)
            Common::observeMetric("filbertreel_first_byte_seconds", call.firstByteMs / 1000);
        calls.erase(call.session.get());
        callCount = calls.size();
    }

    proxied_call* find(caller_session* session, call_id id)
    {
        const auto found = calls.find(session);
        return found != calls.end() && found->second->id == id ? found->second.get() : nullptr;
    }

    // --- Messages from other duties

    void handleMessages()
    {
        inbox.drainInto(batch);
        for (gateway_message& message : batch)
            std::visit([this](auto& payload) { handle(payload); }, message);
        crashes.flush();
    }

    template <typename message_type>
    void handle(const message_type& message)
    {
        applyMessage(state, message, clockNow());
    }

    void handle(const endpoint_limit_received& message)
    {
        const bool isNews = EndpointLimits::applyMessage(state.endpointLimits, message.from, message.message, clockNow());
        if (isNews)
            placeWaiting();
        sendEndpointLimits();
    }

    void handle(const catalog_update& message)
    {
        applyMessage(state, message, clockNow());
        if (outlets.servingStarted && !isLeaving())
            outlets.servingStarted();
    }

    void handle(const lease_received& message)
    {
        if (Quota::applyMessage(state.quota, message.from, message.message, clockNow()))
            allowances.serve();
        allowances.flush();
    }

    void handle(const leave_started& message)
    {
        if (isLeaving())
            return;
        applyMessage(state, message, clockNow());
        callIfSet(outlets.leaveStarted);
        leaving.start({ [this] { return remaining_work { calls.size(), sessions.size() }; },
            [this] { callIfSet(outlets.stoppedAccepting); },
            [this] { closeListener(); },
            [this] { expireAll(); },
            [this] { closeIdleSessions(); },
            [this] { callIfSet(outlets.leaveEnded); } });
    }

    /// Answers all requests in progress as if their time had passed.
    void expireAll()
    {
        std::vector<std::pair<caller_session*, call_id>> open;
        for (const auto& [session, call] : calls)
            open.emplace_back(session, call->id);
        for (const auto& [session, id] : open) {
            proxied_call* call = find(session, id);
            if (call)
                expire(*call);
        }
    }

    void closeIdleSessions()
    {
        std::vector<caller_session_pointer> open;
        for (const auto& [id, session] : sessions)
            open.push_back(session);
        for (const caller_session_pointer& session : open)
            session->closeWhenIdle();
    }

    bool isLeaving() const
    {
        return state.leavingSince.has_value();
    }

    /// Logs what the end of the process cuts.
    void logCuts() const
    {
        for (const auto& [session, call] : calls)
            logCut(*call, clockNow());
        for (const auto& [id, session] : sessions) {
            if (!session->isIdle() && !calls.contains(session.get()))
                Common::logEvent(Common::log_level::Warning, "session_cut", { { "state", session->nameOfState() } });
        }
    }

    // --- Reports to other duties

    void scheduleReport()
    {
        reportTimer.expires_after(currentReportInterval(state));
        reportTimer.async_wait([this](const error_code& error) {
            if (error)
                return;
            Quarantine::refresh(state.quarantine, clockNow());
            crashes.flush();
            logLimitedAccounts(state, clockNow());
            outlets.report(collectReport(state, settings.facts, settings.incarnation, calls.size(), clockNow()));
            scheduleReport();
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
    self.crashes.setReceivers({ self.outlets.sendQuarantineStatements, self.outlets.storeQuarantines, [&self](const std::set<Quarantine::fingerprint>& fingerprints) { self.scheduleRecall(fingerprints); } });
    self.state.addressLife = self.settings.addressLife;
    self.state.quota.incarnation = self.settings.incarnation;
    self.allowances.start({ [&self](caller_session* session, call_id id) { return self.find(session, id); }, [&self](proxied_call& call) { self.place(call); }, [&self](proxied_call& call, const request_rejection& rejection) { self.refuse(call, rejection); }, self.outlets.sendLeases });
    self.setSessionEvents();
    self.inbox.setWaker([&self] { boost::asio::post(self.context, [&self] { self.handleMessages(); }); });
}

gateway_duty::~gateway_duty() = default;

bool gateway_duty::submit(gateway_message&& message)
{
    return m_implementation->inbox.push(message);
}

void gateway_duty::run()
{
    m_implementation->open();
    m_implementation->scheduleReport();
    m_implementation->context.run();
    m_implementation->logCuts();
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
