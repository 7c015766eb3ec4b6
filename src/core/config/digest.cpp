// SHA-256 and constant-time comparison by libcrypto.
#include "core/config/config_internal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>

namespace mimosapier
{

std::string sha256Hex(std::string_view text)
{
    constexpr std::string_view HexDigits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        return {}; // matches no key, as every digest in a bundle has 64 digits
    }
    std::string hex;
    for (unsigned int i = 0; i < length; ++i) {
        hex += HexDigits[digest[i] >> 4U];
        hex += HexDigits[digest[i] & 0xfU];
    }
    return hex;
}

std::string keyHash(std::string_view key)
{
    return sha256Hex(key);
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace mimosapier
