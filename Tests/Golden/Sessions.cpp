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

    void playSummaryServed(world& scene)
    {
        scene.addNode("a");
        scene.tell("a", summaryRequest(1));
        scene.pass(milliseconds(40));
        scene.tell("a", attempt_tokens { { 1 }, { "one ", "two " } });
        scene.tell("a", caller_written { { 1 }, 8, true });
        scene.pass(milliseconds(20));
        scene.tell("a", attempt_tokens { { 1 }, { "three " } });
        scene.tell("a", finished(1));
    }

    void playEngineLostAndStillTalking(world& scene)
    {
        scene.addNode("a");
        scene.tell("a", summaryRequest(1));
        scene.tell("a", attempt_tokens { { 1 }, { "one ", "two " } });
        scene.remark("the engine stalls; the request goes on elsewhere from its position");
        scene.pass(seconds(3));
        scene.tell("a", dispatch_tick {});
        scene.remark("the old attempt still talks: nobody hears it");
        scene.tell("a", attempt_tokens { { 1 }, { "three-from-old " } });
        scene.tell("a", finished(1));
        scene.tell("a", attempt_tokens { { 2 }, { "three " } });
        scene.tell("a", finished(2));
    }

    void playCallerComesBack(world& scene)
    {
        scene.addNode("a");
        scene.tell("a", summaryRequest(1));
        scene.tell("a", attempt_tokens { { 1 }, { "one ", "two " } });
        scene.tell("a", caller_written { { 1 }, 0, false });
        scene.tell("a", attempt_tokens { { 1 }, { "three " } });
        scene.pass(milliseconds(500));
        scene.remark("another account may not have it");
        scene.tell("a", caller_resume { { 2 }, { "other" }, { "a.1.1" }, 0, true });
        scene.tell("a", caller_resume { { 3 }, { "depot-east" }, { "a.1.1" }, 1, true });
        scene.tell("a", attempt_tokens { { 1 }, { "four " } });
        scene.tell("a", finished(1));
    }

    void playSlowCaller(world& scene)
    {
        constexpr size_t nearlyFull = 200 * 1024;
        scene.addNode("a");
        scene.tell("a", summaryRequest(1));
        scene.tell("a", attempt_tokens { { 1 }, { std::string(nearlyFull, 'x') } });
        scene.remark("the caller takes nothing: the engine's stream is paused, and the silence is no stall");
        scene.tell("a", attempt_tokens { { 1 }, { std::string(nearlyFull, 'y') } });
        scene.pass(seconds(10));
        scene.tell("a", dispatch_tick {});
        scene.tell("a", caller_written { { 1 }, nearlyFull, true });
        scene.tell("a", caller_written { { 1 }, nearlyFull, true });
        scene.tell("a", finished(1));
    }

    void playHandover(world& scene)
    {
        scene.addNode("a");
        scene.addNode("b");
        scene.tell("a", summaryRequest(1));
        scene.tell("a", attempt_tokens { { 1 }, { "one ", "two " } });
        scene.tell("a", drain_begun {});
        scene.tell("a", summaryRequest(2));
        scene.tell("a", handover_begun {});
        scene.remark("from the offer on the old engine's tokens reach nobody");
        scene.tell("a", attempt_tokens { { 1 }, { "late " } });
        scene.tell("b", transfer_offered { { "a" }, { { "a.1.1" }, { "depot-east" }, { "summary" }, summaryRequest(0).body, { "one ", "two " }, true } });
        scene.tell("a", transfer_taken { { "a.1.1" }, "b:80" });
        scene.tell("b", caller_resume { { 7 }, { "depot-east" }, { "a.1.1" }, 2, true });
        scene.tell("b", attempt_tokens { { 1 }, { "three " } });
        scene.tell("b", finished(1));
    }

    void playOfferNobodyAnswers(world& scene)
    {
        scene.addNode("a");
        scene.tell("a", summaryRequest(1));
        scene.tell("a", attempt_tokens { { 1 }, { "one " } });
        scene.tell("a", handover_begun {});
        scene.pass(seconds(2));
        scene.tell("a", dispatch_tick {});
        scene.remark("the answer to the old offer comes too late: the request has gone on here");
        scene.tell("a", transfer_taken { { "a.1.1" }, "b:80" });
        scene.tell("a", attempt_tokens { { 2 }, { "two " } });
        scene.tell("a", finished(2));
    }

    void playReleaseOnceAndReplayed(world& scene)
    {
        scene.addNode("a");
        scene.addNode("b");
        scene.tell("a", releaseRequest(1));
        scene.tell("b", releaseRequest(2));
        scene.tell("a", answered(1));
        scene.tell("b", releaseRequest(3));
        scene.tell("b", releaseRequest(4, "{\"other\":1}"));
    }

    void playClaimReplyLost(world& scene)
    {
        scene.addNode("a");
        scene.setTableFault(table_fault::ReplyLost);
        scene.tell("a", releaseRequest(1));
        scene.setTableFault(table_fault::None);
        scene.tell("a", answered(1));
    }

    void playNodeKilledAfterItsClaim(world& scene)
    {
        scene.addNode("a");
        scene.addNode("b");
        scene.holdReplies(true);
        scene.tell("a", releaseRequest(1));
        scene.remark("the claim stands; whether it was sent nobody can know");
        scene.kill("a");
        scene.giveHeldReplies();
        scene.tell("b", releaseRequest(2));
        scene.pass(seconds(61));
        scene.tell("b", releaseRequest(3));
    }

    void playNodePausedBetweenClaimAndSend(world& scene)
    {
        scene.addNode("a");
        scene.addNode("b");
        scene.holdReplies(true);
        scene.tell("a", releaseRequest(1));
        scene.holdReplies(false);
        scene.remark("a is paused; b is asked meanwhile, long after");
        scene.pass(seconds(90));
        scene.tell("b", releaseRequest(2));
        scene.remark("a wakes and sends: still the only one");
        scene.giveHeldReplies();
        scene.tell("a", answered(1));
        scene.tell("b", releaseRequest(3));
    }

    void playStoreDown(world& scene)
    {
        scene.addNode("a");
        scene.setTableFault(table_fault::Down);
        scene.tell("a", releaseRequest(1));
        scene.setTableFault(table_fault::None);
        scene.tell("a", releaseRequest(2));
        scene.setTableFault(table_fault::Down);
        scene.remark("the outcome is delivered though it can't be stored yet");
        scene.tell("a", answered(1));
        scene.pass(seconds(1));
        scene.tell("a", dispatch_tick {});
        scene.setTableFault(table_fault::None);
        scene.pass(seconds(1));
        scene.tell("a", dispatch_tick {});
        scene.tell("a", releaseRequest(3));
    }

    void playClaimWrittenButUnconfirmed(world& scene)
    {
        scene.addNode("a");
        scene.addNode("b");
        scene.holdReplies(true);
        scene.setTableFault(table_fault::ReplyLost);
        scene.tell("a", releaseRequest(1));
        scene.setTableFault(table_fault::Down);
        scene.remark("the read back fails: refused as not run, which is true, though the claim stands");
        scene.giveHeldReplies();
        scene.setTableFault(table_fault::None);
        scene.pass(seconds(1));
        scene.tell("a", dispatch_tick {});
        scene.remark("the claim is marked as not run: another node may take the call");
        scene.tell("b", releaseRequest(2));
        scene.tell("b", answered(1));
    }

    void playNotSentIsReleased(world& scene)
    {
        scene.addNode("a");
        scene.addNode("b");
        scene.tell("a", releaseRequest(1));
        for (uint64_t attempt = 1; attempt <= 3; ++attempt)
            scene.tell("a", attempt_ended { { attempt }, Http::transfer_end::NotSent, 0, {}, {} });
        scene.tell("b", releaseRequest(2));
        scene.tell("b", cut(1));
        scene.tell("a", releaseRequest(3));
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

    void playTwoOperators(world& scene)
    {
        scene.addNode("a");
        scene.addNode("b");
        scene.tellChain("a", propose(1, "first", "summary"));
        scene.remark("b has not heard of it yet");
        scene.tellChain("b", propose(2, "second", "summary"));
        scene.tellChain("b", propose(3, "third", "quote"));
        scene.tellChain("a", Configuration::chain_tick {});
    }

    void playAcceptedThroughALostReply(world& scene)
    {
        scene.addNode("a");
        scene.setTableFault(table_fault::ReplyLost);
        scene.tellChain("a", propose(1, "first", "summary"));
        scene.setTableFault(table_fault::Down);
        for (int tries = 0; tries < 4; ++tries)
            scene.tellChain("a", tries == 0 ? Configuration::chain_message(propose(2, "second", "quote")) : Configuration::chain_message(Configuration::chain_tick {}));
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
