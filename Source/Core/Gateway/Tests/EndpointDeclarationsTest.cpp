/// @file
/// How long an endpoint gets no requests, from the Retry-After that it stated.

#include "Gateway/EndpointDeclarations.h"

#include <limits>

#include <CppUTest/TestHarness.h>

namespace {

using namespace Gateway;
using seconds = std::chrono::duration<double>;

const Common::endpoint_id endpoint { "e1" };

} // namespace

TEST_GROUP(EndpointDeclarations) {};

TEST(EndpointDeclarations, AStatedBackoffIsLimitedAndNothingButAPositiveNumberCounts)
{
    struct row {
        std::optional<seconds> stated;
        milliseconds used;
    };
    const row rows[] = {
        { seconds(0.25), milliseconds(250) },
        { seconds(30), milliseconds(30'000) },
        { seconds(600), milliseconds(600'000) },
        { seconds(601), milliseconds(600'000) },
        { seconds(1e30), milliseconds(600'000) },
        { seconds(std::numeric_limits<double>::infinity()), milliseconds(600'000) },
        { seconds(0), milliseconds(0) },
        { seconds(-5), milliseconds(0) },
        { {}, milliseconds(0) },
    };
    for (const row& item : rows) {
        gateway_state state;
        proxied_call call;
        attempt& current = call.currentAttempt.emplace();
        current.placement.endpoint = endpoint;
        current.status = 503;
        current.response.backoff = stated_backoff { "as sent", item.stated };
        const Common::instant now = Common::instant(std::chrono::hours(1));
        CHECK(!applyDeclarations(state, call, now));
        const Scheduling::declaration* found = Scheduling::findDeclaration(state.scheduler.declarations, endpoint, {});
        CHECK(found ? found->backoffEnd == now + item.used : item.used.count() == 0);
    }
}
