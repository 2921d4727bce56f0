#pragma once

/// @file
/// One change of the configuration: an entry of the version chain, which is also its audit record.

#include "Configuration/Model.h"

namespace Configuration {

enum class change_kind {
    Class,
    Account,
    Version,
};

struct change {
    Common::config_version version; ///< The version of the configuration that the change leads to.
    std::string token; ///< Random; its author recognises its own row by it after a lost reply.
    std::string actor; ///< Who made the change.
    std::string cause; ///< Why, in the words of the actor.
    Common::wall_time madeAt;
    change_kind kind { change_kind::Class };
    bool isRemoval { false };
    std::string subject; ///< Name of the changed object; unique together with the kind.
    nlohmann::json body; ///< The object's members after the change.
};

/// @param kind any change kind.
/// @return its name in the JSON of a change.
std::string_view nameOf(change_kind kind);

/// Validates a proposal and derives its subject from its body.
/// @param proposal members kind, remove, cause and body.
/// @return the change without a version, or every invalid member.
parsed<change> parseProposal(const nlohmann::json& proposal);

/// @param text JSON text as returned by encodeChange.
/// @return the change, or every invalid member.
parsed<change> decodeChange(const std::string& text);

/// @param item the change.
/// @return its JSON text; equal changes give equal texts.
std::string encodeChange(const change& item);

/// Applies the next change of the version chain.
/// @param state the configuration, changed in place.
/// @param item a change whose version is state's plus one.
/// @return false, with state unchanged, when the change has another version.
bool applyChange(configuration& state, const change& item);

} // namespace Configuration
