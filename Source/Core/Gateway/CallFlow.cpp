#include "Gateway/CallFlow.h"

namespace Gateway {

namespace {

    bool mayRunElsewhere(const call_progress& progress)
    {
        if (!progress.mayRepeat || !progress.hasTimeLeft || progress.endpointsRun >= progress.maxEndpoints)
            return false;
        return !progress.hasHeadSent || progress.isResumable;
    }

    next_step afterRefusal(const call_progress& progress, next_step retry)
    {
        if (progress.hasTimeLeft && progress.refusals < mostRefusals)
            return retry;
        if (progress.hasHeadSent)
            return next_step::CutAnswer;
        // An earlier endpoint may have run it: then "not run" would be untrue.
        return progress.endpointsRun > 0 ? next_step::FailUnknown : next_step::Refuse;
    }

    next_step afterLoss(const call_progress& progress, next_step failure)
    {
        if (mayRunElsewhere(progress))
            return next_step::TryAnother;
        return progress.hasHeadSent ? next_step::CutAnswer : failure;
    }

} // namespace

next_step decideNext(const call_progress& progress, attempt_end end)
{
    switch (end) {
    case attempt_end::NotSent:
        return afterRefusal(progress, next_step::TryAnotherFreely);
    case attempt_end::NotRun:
        return afterRefusal(progress, next_step::TryAnother);
    case attempt_end::Answered:
        return next_step::GiveAnswer;
    case attempt_end::Failed:
        // Where the answer has begun, a failure of the endpoint that should go on with it must not end it as if whole.
        return afterLoss(progress, next_step::GiveAnswer);
    case attempt_end::Broken:
        return afterLoss(progress, next_step::FailUnknown);
    case attempt_end::TimedOut:
        return progress.hasHeadSent ? next_step::CutAnswer : next_step::FailTimeout;
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
