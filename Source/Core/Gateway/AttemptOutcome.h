#pragma once

/// @file
/// Classifies the end of an attempt for the request, for the endpoint's scheduling state and for the rollout of its
/// version. Reads no clock and no socket.

#include "Gateway/Call.h"
#include "Gateway/GatewayDuty.h"

namespace Gateway {

/// @return a duration in milliseconds, with fractions.
double toMs(Common::duration time);

/// @param current an attempt that has begun.
/// @param now current time.
/// @return milliseconds since then without the network's round trips, so that endpoints at different distances can be
/// compared.
double endpointMs(const attempt& current, Common::instant now);

/// @return whether an HTTP status is 2xx.
bool isSuccess(int status);

/// @return whether an HTTP status says that the request was meant for another endpoint.
bool isMisdirected(int status);

/// @param call a request whose current attempt has received the head of a response.
/// @return whether the response belongs to another request. On a connection that has carried one before, a response that
/// names no request may be a late copy.
bool isForOtherRequest(const proxied_call& call);

/// @param call a request whose current attempt has received the head of a response.
/// @return whether the response carries the request's attempt id, or neither has one. Only such a response proves that
/// the request has not run.
bool namesRequest(const proxied_call& call);

/// @param call a request with a current attempt.
/// @param end how the attempt's HTTP exchange ended.
/// @return the attempt's outcome, which also depends on the status and proof of origin of the response.
attempt_end classify(const proxied_call& call, exchange_end end);

/// @return the outcome as the scheduler records it for the endpoint.
Scheduling::placement_end placementEndOf(attempt_end outcome);

/// @param call a request whose current attempt has ended.
/// @param outcome of the attempt.
/// @param hasPaths whether this node reaches endpoints of the service; if not, a failure says nothing about the version.
/// @param now current time.
/// @return the outcome as a rollout counts it for the endpoint's version.
attempt_report::event versionEventOf(const proxied_call& call, attempt_end outcome, bool hasPaths, Common::instant now);

} // namespace Gateway
