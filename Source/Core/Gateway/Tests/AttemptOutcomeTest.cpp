/// @file
/// How the end of an attempt counts for the version of its endpoint.

#include "Gateway/AttemptOutcome.h"

#include <CppUTest/TestHarness.h>

using namespace Gateway;

TEST_GROUP(AttemptOutcome) {};

TEST(AttemptOutcome, FailuresOfANodeWithoutPathsDoNotCountAgainstAVersion)
{
    struct row {
        attempt_end outcome;
        bool hasPaths;
        attempt_report::event counted;
    };
    const row rows[] = {
        { attempt_end::Broken, true, attempt_report::event::Failed },
        { attempt_end::Failed, true, attempt_report::event::Failed },
        { attempt_end::TimedOut, true, attempt_report::event::Failed },
        { attempt_end::Broken, false, attempt_report::event::Abandoned },
        { attempt_end::Failed, false, attempt_report::event::Abandoned },
        { attempt_end::TimedOut, false, attempt_report::event::Abandoned },
        { attempt_end::NotSent, false, attempt_report::event::Abandoned },
        { attempt_end::Answered, false, attempt_report::event::OnTime },
    };
    const Catalog::route route;
    proxied_call call;
    call.route = &route;
    for (const row& item : rows)
        CHECK_TRUE(versionEventOf(call, item.outcome, item.hasPaths, {}) == item.counted);
}
