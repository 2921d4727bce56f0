#include "Gateway/CallFlow.h"

namespace Gateway {

namespace {

    bool mayRetryElsewhere(const call_progress& progress)
    {
        if (!progress.mayRetry || !progress.hasTimeLeft || progress.endpointsRun >= progress.maxEndpoints)
            return false;
        return !progress.hasHeadSent || progress.isResumable;
    }

    next_step afterRefusal(const call_progress& progress, next_step retry)
    {
        const bool mayContinue = !progress.hasHeadSent || progress.isResumable;
        if (mayContinue && progress.hasTimeLeft && progress.refusals < maxRefusals)
            return retry;
        if (progress.hasHeadSent)
            return next_step::AbortResponse;
        // An earlier endpoint may have run the request, so the caller must not be told that it did not run.
        return progress.endpointsRun > 0 ? next_step::FailUnknown : next_step::Refuse;
    }

    next_step afterFailure(const call_progress& progress, next_step failure)
    {
        if (mayRetryElsewhere(progress))
            return next_step::Retry;
        return progress.hasHeadSent ? next_step::AbortResponse : failure;
    }

} // namespace

next_step decideNext(const call_progress& progress, attempt_end end)
{
    switch (end) {
    case attempt_end::NotSent:
        return afterRefusal(progress, next_step::RetryUnbudgeted);
    case attempt_end::NotRun:
        return afterRefusal(progress, next_step::Retry);
    case attempt_end::Answered:
        return next_step::ForwardResponse;
    case attempt_end::Failed:
        // If the response has begun, forwarding this failure would end it as if it were complete, so afterFailure()
        // aborts it instead.
        return afterFailure(progress, next_step::ForwardResponse);
    case attempt_end::Broken:
        return afterFailure(progress, next_step::FailUnknown);
    case attempt_end::TimedOut:
        return progress.hasHeadSent ? next_step::AbortResponse : next_step::FailTimeout;
    }
    return next_step::FailUnknown;
}

const char* nameOf(attempt_end end)
{
    switch (end) {
    case attempt_end::NotSent:
        return "not_sent";
    case attempt_end::NotRun:
        return "not_run";
    case attempt_end::Answered:
        return "answered";
    case attempt_end::Failed:
        return "failed";
    case attempt_end::Broken:
        return "broken";
    case attempt_end::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

} // namespace Gateway
