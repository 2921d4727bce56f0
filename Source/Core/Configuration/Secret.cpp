#include "Configuration/Secret.h"

#include <array>
#include <random>

#include <openssl/sha.h>

namespace Configuration {

namespace {

    std::string toHexadecimal(const unsigned char* bytes, size_t count)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        constexpr int nibbleBits = 4;
        constexpr unsigned nibbleMask = 15;
        std::string text;
        for (size_t index = 0; index < count; ++index) {
            text.push_back(digits[bytes[index] >> nibbleBits]);
            text.push_back(digits[bytes[index] & nibbleMask]);
        }
        return text;
    }

} // namespace

std::string generateKey()
{
    constexpr size_t keyBytes = 32;
    std::array<unsigned char, keyBytes> bytes {};
    std::random_device device;
    for (unsigned char& byte : bytes)
        byte = static_cast<unsigned char>(device());
    return toHexadecimal(bytes.data(), bytes.size());
}

std::string digestKey(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    return toHexadecimal(digest.data(), digest.size());
}

} // namespace Configuration
