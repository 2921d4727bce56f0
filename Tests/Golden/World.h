#pragma once

/// @file
/// Simulated nodes on a virtual clock with a table in memory, and the text of their messages and actions.

#include "Golden/Describe.h"

#include <map>
#include <string>

namespace Golden {

/// How the table fails until the next setTableFault().
enum class table_fault {
    None,
    ReplyLost, ///< Writes take effect, but their outcome is Unknown.
    Down, ///< Reads and writes fail as Unavailable without effect.
};

class simulated_cluster {
public:
    /// Adds a node that knows two engines and one ledger service.
    void addNode(const std::string& name);
    /// Delivers a message to a node's dispatcher and performs the resulting table operations at once. Ignored when the
    /// node was killed.
    void deliver(const std::string& node, Dispatch::dispatch_message message);
    /// Delivers a message to a node's configuration chain and performs the resulting table operations at once.
    void deliverToChain(const std::string& node, Configuration::chain_message message);
    /// Advances the virtual clock.
    void advanceClock(std::chrono::milliseconds time);
    /// Adds a comment line to the session's text.
    void remark(const std::string& text);
    /// Removes a node, as if its process were killed.
    void kill(const std::string& node);
    /// Holds back the table's replies, as if the nodes were paused.
    void holdReplies(bool isHeld) { m_isHeld = isHeld; }
    /// Delivers the replies held back and stops holding.
    void releaseHeldReplies();

    void setTableFault(table_fault fault) { m_fault = fault; }
    const std::string& text() const { return m_text; }

private:
    struct held_reply {
        std::string node;
        Dispatch::dispatch_message message;
    };

    void appendLine(const std::string& node, std::string_view arrow, const std::string& text);
    void performTableAction(const std::string& node, const Dispatch::dispatch_action& action);
    void performChainAction(const std::string& node, const Configuration::chain_action& action);
    Platform::table_outcome put(const Platform::table_put& put);
    void reply(const std::string& node, Dispatch::dispatch_message message);

    std::map<std::string, Dispatch::dispatch_state> m_nodes;
    std::map<std::string, Configuration::chain_state> m_chains;
    std::map<std::string, Platform::table_row> m_rows;
    std::vector<held_reply> m_held;
    std::chrono::milliseconds m_now { 0 };
    table_fault m_fault { table_fault::None };
    bool m_isHeld { false };
    std::string m_text;
};

} // namespace Golden
