#pragma once

/// @file
/// Child processes of a test, signalled and killed by process id.

#include <string>
#include <vector>

#include <sys/types.h>

namespace Harness {

struct process {
    pid_t pid { -1 }; ///< -1 when no process runs.
    int waitStatus { 0 }; ///< Status from waitpid(), once the process has ended.
};

/// Starts a program.
/// @param arguments the program's path and its arguments.
/// @param environment all environment variables of the program, as NAME=VALUE.
/// @param logFile stdout and stderr are appended to it.
process startProcess(const std::vector<std::string>& arguments, const std::vector<std::string>& environment, const std::string& logFile);

/// @return whether the process still runs. Collects its wait status when it has ended.
bool isRunning(process& child);

/// Sends a signal to the process if it still runs.
void signalProcess(process& child, int signal);

/// Waits for the process to exit.
/// @param milliseconds time limit.
/// @return the exit code, or -1 when the process still runs or was terminated by a signal.
int waitForExit(process& child, int milliseconds);

/// Sends SIGKILL and waits for the process to end.
void killProcess(process& child);

} // namespace Harness
