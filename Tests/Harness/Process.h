#pragma once

/// @file
/// One child process of a test, ended by its id.

#include <string>
#include <vector>

#include <sys/types.h>

namespace Harness {

struct process {
    pid_t pid { -1 };
    int endStatus { 0 }; ///< As waitpid told it, once the process has ended.
};

/// Starts a program.
/// @param arguments the program's path and its arguments.
/// @param environment further variables as NAME=VALUE.
/// @param logFile receives its output.
process startProcess(const std::vector<std::string>& arguments, const std::vector<std::string>& environment, const std::string& logFile);

/// @return whether the process still runs.
bool isRunning(process& child);

/// Sends a signal to a running process.
void signalProcess(process& child, int signal);

/// Waits for the process to end by itself.
/// @param milliseconds the longest wait.
/// @return its exit code, or -1 when it still runs or was ended by a signal.
int waitForExit(process& child, int milliseconds);

/// Ends the process at once.
void killProcess(process& child);

} // namespace Harness
