#pragma once

/// @file
/// One change of the configuration: a link of the version chain and at once its audit record.

#include "Configuration/Model.h"

namespace Configuration {

enum class change_kind {
    Class,
    Account,
    Version,
};

struct change {
    Common::config_version version; ///< Its place in the chain.
    std::string token; ///< Random name by which its author finds it again after a lost reply.
    std::string actor;
    std::string cause;
    Common::wall_time madeAt;
    change_kind kind { change_kind::Class };
    bool isRemoval { false };
    std::string subject; ///< The object that it changes, unique together with the kind.
    nlohmann::json body; ///< The object's members after the change.
};

/// @param kind a change kind.
/// @return its name in changes.
std::string_view nameOf(change_kind kind);

/// Checks a proposal and fills its subject.
/// @param proposal members kind, remove, cause and body.
/// @return the change without a version, or every mistake in it.
parsed<change> parseProposal(const nlohmann::json& proposal);

/// @param text what encodeChange gave.
/// @return the change, or its mistakes.
parsed<change> decodeChange(const std::string& text);

/// @param item the change.
/// @return its JSON text, the same for the same change.
std::string encodeChange(const change& item);

/// Applies the next link of the chain.
/// @param state the configuration, changed in place.
/// @param item a change whose version is state's plus one.
/// @return whether it was the next link and could be applied.
bool applyChange(configuration& state, const change& item);

} // namespace Configuration
