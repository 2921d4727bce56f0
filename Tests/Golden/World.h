#pragma once

/// @file
/// Nodes' decisions on a virtual clock with a table in memory, and the text of everything they said.

#include "Golden/Describe.h"

#include <map>
#include <string>

namespace Golden {

/// What the table does with the next writes.
enum class table_fault {
    None,
    ReplyLost, ///< Takes effect, the reply says Unknown.
    Down,
};

class world {
public:
    /// Adds a node with two engines and one ledger in its list.
    void addNode(const std::string& name);
    /// Gives a node a message and performs what it asks of the table at once.
    void tell(const std::string& node, Dispatch::dispatch_message message);
    /// Gives a node's chain a message; table work is performed at once.
    void tellChain(const std::string& node, Configuration::chain_message message);
    /// Moves the virtual clock.
    void pass(std::chrono::milliseconds time);
    /// Writes a remark into the session's text.
    void remark(const std::string& text);
    /// Forgets a node: it was killed.
    void kill(const std::string& node);
    /// Keeps the table's replies to a node back, as if the node were paused.
    void holdReplies(bool isHeld) { m_isHeld = isHeld; }
    void giveHeldReplies();

    void setTableFault(table_fault fault) { m_fault = fault; }
    const std::string& text() const { return m_text; }

private:
    struct held_reply {
        std::string node;
        Dispatch::dispatch_message message;
    };

    void line(const std::string& node, std::string_view arrow, const std::string& text);
    void perform(const std::string& node, const Dispatch::dispatch_action& action);
    void performChain(const std::string& node, const Configuration::chain_action& action);
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
