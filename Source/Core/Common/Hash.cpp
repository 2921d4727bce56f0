#include "Common/Hash.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace Common {

uint64_t hash64(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string toHex(uint64_t number)
{
    constexpr size_t digitsAndTerminator = 17;
    std::array<char, digitsAndTerminator> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%016llx", static_cast<unsigned long long>(number));
    return buffer.data();
}

uint64_t rendezvousScore(std::string_view key, std::string_view candidate)
{
    return hash64(key, hash64(candidate));
}

} // namespace Common
