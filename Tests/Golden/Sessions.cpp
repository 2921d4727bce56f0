#include "Golden/Sessions.h"

namespace Golden {

namespace {

    using namespace Dispatch;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    caller_request summaryRequest(uint64_t token, bool isStreamed = true)
    {
        caller_request request;
        request.token = { token };
        request.account = { "depot-east" };
        request.work.name = { "summary" };
        request.work.service = "model";
        request.isStreamed = isStreamed;
        request.body = { { "messages", nlohmann::json::array({ { { "role", "user" }, { "content", "crates" } } }) } };
        return request;
    }

    caller_request releaseRequest(uint64_t token, const std::string& body = "{}")
    {
        caller_request request;
        request.token = { token };
        request.account = { "depot-east" };
        request.work.name = { "release" };
        request.work.kind = Configuration::class_kind::Service;
        request.work.service = "ledger";
        request.work.isIdempotent = false;
        request.path = "/releases";
        request.rawBody = body;
        request.idempotencyKey = "key-1";
        return request;
    }

    attempt_ended finished(uint64_t attempt) { return { { attempt }, Http::transfer_end::Complete, 200, {}, "stop" }; }
    attempt_ended cut(uint64_t attempt) { return { { attempt }, Http::transfer_end::Cut, 200, {}, {} }; }
    attempt_ended answered(uint64_t attempt) { return { { attempt }, Http::transfer_end::Complete, 200, "{\"run\":1}", {} }; }

    void playSummaryServed(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.deliver("a", summaryRequest(1));
        cluster.advanceClock(milliseconds(40));
        cluster.deliver("a", attempt_tokens { { 1 }, { "one ", "two " } });
        cluster.deliver("a", caller_progress { { 1 }, 8, true });
        cluster.advanceClock(milliseconds(20));
        cluster.deliver("a", attempt_tokens { { 1 }, { "three " } });
        cluster.deliver("a", finished(1));
    }

    void playEngineLostAndStillTalking(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.deliver("a", summaryRequest(1));
        cluster.deliver("a", attempt_tokens { { 1 }, { "one ", "two " } });
        cluster.remark("the engine stalls; the request goes on elsewhere from its position");
        cluster.advanceClock(seconds(3));
        cluster.deliver("a", dispatch_tick {});
        cluster.remark("the old attempt still talks: nobody hears it");
        cluster.deliver("a", attempt_tokens { { 1 }, { "three-from-old " } });
        cluster.deliver("a", finished(1));
        cluster.deliver("a", attempt_tokens { { 2 }, { "three " } });
        cluster.deliver("a", finished(2));
    }

    void playCallerComesBack(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.deliver("a", summaryRequest(1));
        cluster.deliver("a", attempt_tokens { { 1 }, { "one ", "two " } });
        cluster.deliver("a", caller_progress { { 1 }, 0, false });
        cluster.deliver("a", attempt_tokens { { 1 }, { "three " } });
        cluster.advanceClock(milliseconds(500));
        cluster.remark("another account may not have it");
        cluster.deliver("a", caller_resume { { 2 }, { "other" }, { "a.1.1" }, 0, true });
        cluster.deliver("a", caller_resume { { 3 }, { "depot-east" }, { "a.1.1" }, 1, true });
        cluster.deliver("a", attempt_tokens { { 1 }, { "four " } });
        cluster.deliver("a", finished(1));
    }

    void playSlowCaller(simulated_cluster& cluster)
    {
        constexpr size_t nearlyFull = 200 * 1024;
        cluster.addNode("a");
        cluster.deliver("a", summaryRequest(1));
        cluster.deliver("a", attempt_tokens { { 1 }, { std::string(nearlyFull, 'x') } });
        cluster.remark("the caller takes nothing: the engine's stream is paused, and the silence is no stall");
        cluster.deliver("a", attempt_tokens { { 1 }, { std::string(nearlyFull, 'y') } });
        cluster.advanceClock(seconds(10));
        cluster.deliver("a", dispatch_tick {});
        cluster.deliver("a", caller_progress { { 1 }, nearlyFull, true });
        cluster.deliver("a", caller_progress { { 1 }, nearlyFull, true });
        cluster.deliver("a", finished(1));
    }

    void playHandover(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.addNode("b");
        cluster.deliver("a", summaryRequest(1));
        cluster.deliver("a", attempt_tokens { { 1 }, { "one ", "two " } });
        cluster.deliver("a", drain_begun {});
        cluster.deliver("a", summaryRequest(2));
        cluster.deliver("a", handover_begun {});
        cluster.remark("from the offer on the old engine's tokens reach nobody");
        cluster.deliver("a", attempt_tokens { { 1 }, { "late " } });
        cluster.deliver("b", transfer_offered { { "a" }, { { "a.1.1" }, { "depot-east" }, { "summary" }, summaryRequest(0).body, { "one ", "two " }, true } });
        cluster.deliver("a", transfer_accepted { { "a.1.1" }, "b:80" });
        cluster.deliver("b", caller_resume { { 7 }, { "depot-east" }, { "a.1.1" }, 2, true });
        cluster.deliver("b", attempt_tokens { { 1 }, { "three " } });
        cluster.deliver("b", finished(1));
    }

    void playOfferNobodyAnswers(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.deliver("a", summaryRequest(1));
        cluster.deliver("a", attempt_tokens { { 1 }, { "one " } });
        cluster.deliver("a", handover_begun {});
        cluster.advanceClock(seconds(2));
        cluster.deliver("a", dispatch_tick {});
        cluster.remark("the answer to the old offer comes too late: the request has gone on here");
        cluster.deliver("a", transfer_accepted { { "a.1.1" }, "b:80" });
        cluster.deliver("a", attempt_tokens { { 2 }, { "two " } });
        cluster.deliver("a", finished(2));
    }

    void playReleaseOnceAndReplayed(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.addNode("b");
        cluster.deliver("a", releaseRequest(1));
        cluster.deliver("b", releaseRequest(2));
        cluster.deliver("a", answered(1));
        cluster.deliver("b", releaseRequest(3));
        cluster.deliver("b", releaseRequest(4, "{\"other\":1}"));
    }

    void playClaimReplyLost(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.setTableFault(table_fault::ReplyLost);
        cluster.deliver("a", releaseRequest(1));
        cluster.setTableFault(table_fault::None);
        cluster.deliver("a", answered(1));
    }

    void playNodeKilledAfterItsClaim(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.addNode("b");
        cluster.holdReplies(true);
        cluster.deliver("a", releaseRequest(1));
        cluster.remark("the claim stands; whether it was sent nobody can know");
        cluster.kill("a");
        cluster.releaseHeldReplies();
        cluster.deliver("b", releaseRequest(2));
        cluster.advanceClock(seconds(61));
        cluster.deliver("b", releaseRequest(3));
    }

    void playNodePausedBetweenClaimAndSend(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.addNode("b");
        cluster.holdReplies(true);
        cluster.deliver("a", releaseRequest(1));
        cluster.holdReplies(false);
        cluster.remark("a is paused; b is asked meanwhile, long after");
        cluster.advanceClock(seconds(90));
        cluster.deliver("b", releaseRequest(2));
        cluster.remark("a wakes and sends: still the only one");
        cluster.releaseHeldReplies();
        cluster.deliver("a", answered(1));
        cluster.deliver("b", releaseRequest(3));
    }

    void playStoreDown(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.setTableFault(table_fault::Down);
        cluster.deliver("a", releaseRequest(1));
        cluster.setTableFault(table_fault::None);
        cluster.deliver("a", releaseRequest(2));
        cluster.setTableFault(table_fault::Down);
        cluster.remark("the outcome is delivered though it can't be stored yet");
        cluster.deliver("a", answered(1));
        cluster.advanceClock(seconds(1));
        cluster.deliver("a", dispatch_tick {});
        cluster.setTableFault(table_fault::None);
        cluster.advanceClock(seconds(1));
        cluster.deliver("a", dispatch_tick {});
        cluster.deliver("a", releaseRequest(3));
    }

    void playClaimWrittenButUnconfirmed(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.addNode("b");
        cluster.holdReplies(true);
        cluster.setTableFault(table_fault::ReplyLost);
        cluster.deliver("a", releaseRequest(1));
        cluster.setTableFault(table_fault::Down);
        cluster.remark("the read back fails: refused as not run, which is true, though the claim stands");
        cluster.releaseHeldReplies();
        cluster.setTableFault(table_fault::None);
        cluster.advanceClock(seconds(1));
        cluster.deliver("a", dispatch_tick {});
        cluster.remark("the claim is marked as not run: another node may take the call");
        cluster.deliver("b", releaseRequest(2));
        cluster.deliver("b", answered(1));
    }

    void playNotSentIsReleased(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.addNode("b");
        cluster.deliver("a", releaseRequest(1));
        for (uint64_t attempt = 1; attempt <= 3; ++attempt)
            cluster.deliver("a", attempt_ended { { attempt }, Http::transfer_end::NotSent, 0, {}, {} });
        cluster.deliver("b", releaseRequest(2));
        cluster.deliver("b", cut(1));
        cluster.deliver("a", releaseRequest(3));
    }

    Configuration::proposal propose(uint64_t operatorToken, const std::string& token, const std::string& name)
    {
        Configuration::proposal item;
        item.operatorToken = { operatorToken };
        item.item.token = token;
        item.item.subject = name;
        item.item.body = { { "name", name }, { "work", "model" }, { "service", "m" } };
        return item;
    }

    void playTwoOperators(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.addNode("b");
        cluster.deliverToChain("a", propose(1, "first", "summary"));
        cluster.remark("b has not heard of it yet");
        cluster.deliverToChain("b", propose(2, "second", "summary"));
        cluster.deliverToChain("b", propose(3, "third", "quote"));
        cluster.deliverToChain("a", Configuration::chain_tick {});
    }

    void playAcceptedThroughALostReply(simulated_cluster& cluster)
    {
        cluster.addNode("a");
        cluster.setTableFault(table_fault::ReplyLost);
        cluster.deliverToChain("a", propose(1, "first", "summary"));
        cluster.setTableFault(table_fault::Down);
        for (int tries = 0; tries < 4; ++tries)
            cluster.deliverToChain("a", tries == 0 ? Configuration::chain_message(propose(2, "second", "quote")) : Configuration::chain_message(Configuration::chain_tick {}));
    }

} // namespace

std::vector<session> listSessions()
{
    return {
        { "accepted-through-a-lost-reply", playAcceptedThroughALostReply },
        { "caller-comes-back", playCallerComesBack },
        { "claim-reply-lost", playClaimReplyLost },
        { "claim-written-but-unconfirmed", playClaimWrittenButUnconfirmed },
        { "engine-lost-and-still-talking", playEngineLostAndStillTalking },
        { "handover", playHandover },
        { "node-killed-after-its-claim", playNodeKilledAfterItsClaim },
        { "node-paused-between-claim-and-send", playNodePausedBetweenClaimAndSend },
        { "not-sent-is-released", playNotSentIsReleased },
        { "offer-nobody-answers", playOfferNobodyAnswers },
        { "release-once-and-replayed", playReleaseOnceAndReplayed },
        { "slow-caller", playSlowCaller },
        { "store-down", playStoreDown },
        { "summary-served", playSummaryServed },
        { "two-operators", playTwoOperators },
    };
}

} // namespace Golden
