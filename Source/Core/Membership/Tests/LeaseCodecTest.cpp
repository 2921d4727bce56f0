/// @file
/// Messages about leases of accounts, also from nodes that don't know them.

#include "Membership/LeaseCodec.h"
#include "Membership/PeerCodec.h"

#include "Protocol/peer.pb.h"

#include <limits>

#include <CppUTest/TestHarness.h>

namespace {

using namespace Membership;
using namespace Quota;

} // namespace

TEST_GROUP(LeaseCodec) {};

TEST(LeaseCodec, AMessageArrivesAsItWasSentInAHundredAndFortyBytes)
{
    constexpr size_t maxBytes = 140;
    const lease_message rows[] = {
        lease_ask { { "bade401" }, { 1792817495870 }, 70000, 1e9, 1e9 - 1, 40000, 80000, 90000 },
        lease_answer { { "bade401" }, { 1792817495870 }, 70000, 1e9, -5, true, milliseconds(5000) },
    };
    for (const lease_message& item : rows) {
        filbertreel::peer::envelope message;
        message.set_sender("front-walsall-depot-12");
        message.set_sender_address("10.200.100.100:7600");
        message.set_incarnation(1792817495870);
        filbertreel::peer::account_lease& record = *message.mutable_account_leases()->add_items();
        encodeLease(item, record);
        CHECK_TRUE(message.ByteSizeLong() <= maxBytes);
        const std::optional<lease_message> received = decodeLease(record);
        CHECK_TRUE(received.has_value());
        CHECK_EQUAL(item.index(), received->index());
        filbertreel::peer::account_lease again;
        encodeLease(*received, again);
        CHECK_TRUE(record.SerializeAsString() == again.SerializeAsString());
    }
}

TEST(LeaseCodec, AMessageThatIsInvalidIsIgnored)
{
    const double none = std::numeric_limits<double>::quiet_NaN();
    struct row {
        uint32_t kind;
        double used;
        double wanted;
        double credited;
    };
    const row rows[] = { { 0, 1, 1, 1 }, { 3, 1, 1, 1 }, { 1, none, 1, 1 }, { 1, 1, -1, 1 }, { 1, 1, none, 1 }, { 2, 1, 1, none } };
    for (const row& item : rows) {
        filbertreel::peer::account_lease record;
        record.set_kind(item.kind);
        record.set_used(item.used);
        record.set_wanted(item.wanted);
        record.set_credited(item.credited);
        CHECK_FALSE(decodeLease(record).has_value());
    }
}

TEST(LeaseCodec, AReportOfAProgramThatDoesNotLeaseIsKnownByIt)
{
    for (const bool isLeasing : { false, true }) {
        node_report report;
        report.accounts.push_back({ { "bade401" }, 5, 1 });
        report.isLeasing = isLeasing;
        filbertreel::peer::grant_report record;
        encodeGrants(report, record);
        const node_report received = decodeGrants({ "a" }, { 7 }, record);
        CHECK_EQUAL(isLeasing, received.isLeasing);
        CHECK_EQUAL(5, received.accounts.front().total);
    }
}
