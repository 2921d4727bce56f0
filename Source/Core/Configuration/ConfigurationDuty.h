#pragma once

/// @file
/// The configuration duty: the thread that runs the state machine of the version chain and performs its actions.

#include "Common/Mailbox.h"
#include "Configuration/VersionChain.h"

#include <functional>

namespace Configuration {

/// The duty's connections to other duties. Each function passes a message on and never blocks.
struct configuration_outlets {
    std::function<void(Platform::table_call&&)> callTable;
    std::function<void(std::shared_ptr<const configuration>)> publish;
    std::function<void(const std::vector<change>&)> tellPeers;
    std::function<void(Common::config_version)> pullFromPeers;
    std::function<void(const answer_peer&)> answerPeer;
    std::function<void(Common::caller_token, int status, std::string body)> answerOperator;
};

class configuration_duty {
public:
    explicit configuration_duty(configuration_outlets outlets);

    /// Queues a message for the duty; may be called from any thread.
    /// @return false when the inbox ring is full; the message is then left untouched.
    bool submit(chain_message&& message);
    /// Processes messages and ticks on the calling thread until stop().
    void run();
    /// Makes run() return; may be called from any thread.
    void stop();

private:
    void perform(const write_change& action);
    void perform(const read_changes& action);
    void perform(const read_snapshot& action);
    void perform(const write_snapshot& action);
    void perform(const publish_configuration& action);
    void perform(const tell_peers& action);
    void perform(const pull_from_peers& action);
    void perform(const answer_peer& action);
    void perform(const answer_operator& action);
    void dispatch(chain_message&& message);

    configuration_outlets m_outlets;
    Common::mailbox<chain_message> m_inbox;
    chain_state m_state;
};

/// The partition of the table that holds the version chain, one row per change.
constexpr std::string_view chainPartition = "config";
/// The partition of the table that holds the newest snapshot.
constexpr std::string_view snapshotPartition = "config-snapshot";

} // namespace Configuration
