#include "Harness/Process.h"

#include <chrono>
#include <csignal>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Harness {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 10 };
    constexpr int fileMode = 0644;

    std::vector<char*> toPointers(const std::vector<std::string>& strings)
    {
        std::vector<char*> pointers;
        for (const std::string& string : strings)
            pointers.push_back(const_cast<char*>(string.c_str()));
        pointers.push_back(nullptr);
        return pointers;
    }

} // namespace

process startProcess(const std::vector<std::string>& arguments, const std::vector<std::string>& environment, const std::string& logFile)
{
    const std::vector<char*> argumentPointers = toPointers(arguments);
    const std::vector<char*> environmentPointers = toPointers(environment);
    const pid_t pid = fork();
    if (pid != 0)
        return { pid, 0 };
    // Kill the child when the test process ends, also when that one was killed itself.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, fileMode);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(argumentPointers.front(), argumentPointers.data(), environmentPointers.data());
    _exit(127);
}

bool isRunning(process& child)
{
    if (child.pid <= 0)
        return false;
    if (waitpid(child.pid, &child.waitStatus, WNOHANG) == 0)
        return true;
    child.pid = -1;
    return false;
}

void signalProcess(process& child, int signal)
{
    if (isRunning(child))
        kill(child.pid, signal);
}

int waitForExit(process& child, int milliseconds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    while (child.pid > 0 && std::chrono::steady_clock::now() < end) {
        if (!isRunning(child))
            return WIFEXITED(child.waitStatus) ? WEXITSTATUS(child.waitStatus) : -1;
        std::this_thread::sleep_for(pollInterval);
    }
    return -1;
}

void killProcess(process& child)
{
    if (child.pid <= 0)
        return;
    kill(child.pid, SIGKILL);
    waitpid(child.pid, nullptr, 0);
    child.pid = -1;
}

} // namespace Harness
