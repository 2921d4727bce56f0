/// @file
/// The deterministic tokens that all engine stand-ins generate.

#include "StandIns/StandIns.h"

#include "Common/Hash.h"

namespace StandIns {

std::string tokenOf(const std::string& prompt, uint64_t position)
{
    constexpr uint64_t tokenSpace = 65536;
    return "w" + std::to_string(Common::hash64(prompt, position) % tokenSpace) + " ";
}

} // namespace StandIns
