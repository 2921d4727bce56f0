"""Mutation test: disables one mechanism at a time in a scratch copy and checks that a test fails.

Each row: the disabled mechanism, the file, the text that is replaced, its replacement, and the test that must fail.
An argument restricts the rows to names that contain it. Prints one line per row and exits with 1 when a test did not
detect its mutation or the replaced text is no longer in the file. Run it when all tests pass; takes about ten minutes.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent

MUTATIONS = [
    ("resumption from position", "Source/Core/Dispatch/ModelWork.cpp",
     "if (tokens.ends.empty())\n            return;\n        body[\"messages\"]", "return;\n        body[\"messages\"]",
     ["Tests/Promises/PromisesStreams", "-n", "AStreamIsCompleteWhenItsEngineIsKilled"]),
    ("late tokens of replaced attempts are dropped", "Source/Core/Dispatch/Dispatcher.cpp",
     "    context.state.byAttempt.erase(request.attempt->number.value);\n", "",
     ["Tests/Golden/golden-sessions"]),
    ("stall detection", "Source/Core/Dispatch/ModelWork.cpp",
     "        if (context.clock.now - request.attempt->lastProgress < stallTimeout(request))\n            return;",
     "        return;",
     ["Tests/Promises/PromisesStreams", "-n", "AStreamIsCompleteWhenItsEngineStallsAndIgnoresTheCancel"]),
    ("handover of a leaving node", "Source/Core/Dispatch/Dispatcher.cpp",
     "                offerTransfer(context, *request);", "                static_cast<void>(request);",
     ["Tests/Promises/PromisesStreams", "-n", "AStreamIsFinishedByAPeerWhenItsNodeIsReclaimed"]),
    ("handover early in the notice", "Source/Filbertreeld/Node.cpp",
     "constexpr double handoverShareOfNotice = 0.4;", "constexpr double handoverShareOfNotice = 0.9;",
     ["Tests/Promises/PromisesStreams", "-n", "AStreamIsCompleteWhenItsNodeIsKilledDuringItsNotice"]),
    ("an endpoint's own word that it leaves", "Source/Core/Endpoints/EndpointTable.cpp",
     "if (message.report.isLeaving && markLeaving", "if (false && markLeaving",
     ["Tests/Promises/PromisesStreams", "-n", "ALeavingEngineGetsNoNewWorkWhileTheListLags"]),
    ("claim before dispatch", "Source/Core/Dispatch/ServiceCall.cpp",
     "        return !request.work.isIdempotent;", "        return false;",
     ["Tests/Promises/PromisesCalls", "-n", "TheSameKeySentToThreeNodesAtOnceRunsOnce"]),
    ("the claim must have won", "Source/Core/Idempotency/Claim.cpp",
     "    case Platform::table_outcome::ConditionFailed:\n    case Platform::table_outcome::Unknown:\n        return read_claim {};",
     "    case Platform::table_outcome::ConditionFailed:\n    case Platform::table_outcome::Unknown:\n        return send_call {};",
     ["Tests/Promises/PromisesCalls", "-n", "ARepeatAtAnotherNodeGetsTheStoredOutcome"]),
    ("reading back a lost reply", "Source/Core/Idempotency/Claim.cpp",
     "    if (found->attemptToken != claim.record.attemptToken)", "    if (true)",
     ["Tests/Promises/PromisesCalls", "-n", "ACallRunsOnceWhenTheStoreLosesTheReplyToItsClaim"]),
    ("a cut call is never sent again", "Source/Core/Dispatch/ServiceCall.cpp",
     "    if (!isAtMostOnce(request)) {\n        tryElsewhere(context, request, unknown);", "    if (true) {\n        tryElsewhere(context, request, unknown);",
     ["Tests/Promises/PromisesCalls", "-n", "ACallCutBeforeOrAfterItRanIsUnknownAndNotSentAgain"]),
    ("storing an outcome after an outage", "Source/Core/Dispatch/ServiceCall.cpp",
     "    if (request.phase == request_phase::Recording)\n        writeOutcome(context, request);", "",
     ["Tests/Promises/PromisesCalls", "-n", "AnOutcomeIsDeliveredWhileTheStoreIsDownAndReplayedAfterwards"]),
    ("serving past the address answer's time to live", "Source/Filbertreeld/Node.cpp",
     "self.waitUntil(std::min(leaveStart + self.settings.addressTimeToLive + addressTtlMargin, leaveStart + timeUntilHandover), false);", "",
     ["Tests/Promises/PromisesCalls", "-n", "ALeavingNodeServesUntilItsAddressExpires"]),
    ("waiting for calls at a graceful stop", "Source/Filbertreeld/Node.cpp",
     "    self.waitUntil(leaveStart + timeUntilHandover, true);\n    self.handOver(deadline);\n", "",
     ["Tests/Promises/PromisesCalls", "-n", "AGracefulStopCutsNoCallAndLosesNoOutcome"]),
    ("comparing with what was seen", "Source/Core/Configuration/VersionChain.cpp",
     "    bool hasConflict(const pending_proposal& pending)\n    {\n", "    bool hasConflict(const pending_proposal& pending)\n    {\n        return false;\n",
     ["Tests/Promises/PromisesConfiguration", "-n", "OfTwoConcurrentChangesToOneObjectOneIsRefusedWithTheConflict"]),
    ("only a higher version", "Source/Core/Configuration/VersionChain.cpp",
     "        if (message.state.version <= state.current.version)\n            return;\n", "",
     ["Source/Core/Configuration/ConfigurationTests"]),
    ("configuration from peers", "Source/Core/Configuration/VersionChain.cpp",
     "        output.push_back(std::move(reply));", "        static_cast<void>(reply);",
     ["Tests/Promises/PromisesConfiguration", "-n", "ANodeStartedInAStoreOutageGetsTheConfigurationFromItsPeers"]),
    ("refuting one's own death", "Source/Core/Membership/Members.cpp",
     "        state.self.incarnation = { claim.incarnation.value + 1 };\n        return true;", "        return false;",
     ["Tests/Promises/PromisesNodes", "-n", "ANodeDeclaredDeadWhilePausedRejoinsOnItsOwn"]),
    ("forgiving one's own pause", "Source/Core/Membership/Members.cpp",
     "        if (!wasPaused)\n            return;", "        return;",
     ["Source/Core/Membership/MembershipTests"]),
    ("judging a version", "Source/Core/Rollout/VersionComparison.cpp",
     "        if (candidateBad < minBadEvents || candidateTotal == 0)\n            return false;", "        return false;",
     ["Source/Core/Rollout/RolloutTests"]),
]


def run(command, folder, seconds):
    try:
        environment = dict(os.environ, FILBERTREEL_TEST_PORT_OFFSET="10000")
        return subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=seconds, check=False, env=environment)
    except subprocess.TimeoutExpired:
        return None


def main():
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="mutations-"))
    unnoticed = 0
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    try:
        tree = scratch / "tree"
        shutil.copytree(ROOT, tree, ignore=shutil.ignore_patterns("build*", ".git"))
        run(["cmake", "-S", str(tree), "-B", str(scratch / "build"), "-G", "Ninja"], scratch, 120)
        built = run(["cmake", "--build", str(scratch / "build")], scratch, 900)
        if built is None or built.returncode != 0:
            sys.exit("the unchanged tree does not build")
        for name, file, old, new, test in MUTATIONS:
            if wanted not in name:
                continue
            path = tree / file
            original = path.read_text(encoding="utf-8")
            if old not in original:
                print(f"STALE      {name}: its text is no longer in {file}", flush=True)
                unnoticed += 1
                continue
            command = [str(scratch / "build" / test[0])] + test[1:]
            path.write_text(original.replace(old, new), encoding="utf-8")
            built = run(["cmake", "--build", str(scratch / "build")], scratch, 600)
            after = run(command, scratch, 120)
            path.write_text(original, encoding="utf-8")
            is_red_after = built is not None and built.returncode == 0 and (after is None or after.returncode != 0)
            verdict = "noticed" if is_red_after else "UNNOTICED"
            unnoticed += verdict != "noticed"
            print(f"{verdict:10} {name}: {' '.join(test)}", flush=True)
    finally:
        shutil.rmtree(scratch)
    sys.exit(1 if unnoticed else 0)


main()
