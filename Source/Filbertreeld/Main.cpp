/// @file
/// The node daemon: runs one entry node and shuts it down gracefully on SIGTERM, SIGINT or the cloud's termination
/// notice.

#include "Filbertreeld/Node.h"
#include "Filbertreeld/PlatformNode.h"

#include <csignal>
#include <ctime>
#include <string_view>
#include <thread>

namespace {

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Threads started later inherit the mask, so that only this thread receives the signals.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A write to a connection that the caller has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// @return whether a stop signal arrived within the poll interval.
bool waitForStopSignal(const sigset_t& signals)
{
    constexpr long pollNanoseconds = 100000000;
    const timespec interval { 0, pollNanoseconds };
    return sigtimedwait(&signals, nullptr, &interval) > 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc == 2 && std::string_view(argv[1]) == "platform-node")
        return Filbertreeld::runPlatformNode();
    const auto settings = Filbertreeld::parseSettings(argc, argv);
    if (!settings)
        return settings.error().code;
    const sigset_t signals = blockStopSignals();
    Common::startLogging(settings->node.value, settings->logLevel);
    Filbertreeld::node node(*settings);
    node.start();
    while (!node.shouldLeave() && !waitForStopSignal(signals)) { }
    if (!node.hasFailed()) {
        std::atomic<bool> hasLeft { false };
        std::thread leaveThread([&node, &hasLeft] {
            node.leave();
            hasLeft = true;
        });
        // A second signal only makes the handover begin at once; it does not cut requests off.
        while (!hasLeft) {
            if (waitForStopSignal(signals))
                node.handOverNow();
        }
        leaveThread.join();
    }
    node.stop();
    Common::flushLogs();
    return node.hasFailed() ? Filbertreeld::exitFailedToStart : Filbertreeld::exitOk;
}
