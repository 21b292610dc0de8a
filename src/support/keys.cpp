#include "support/keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace baobabport::support {

namespace {

const unsigned char *bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string hmac_sha256(std::string_view key, std::string_view message)
{
    std::string out(EVP_MAX_MD_SIZE, '\0');
    unsigned int n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes_of(message), message.size(),
         reinterpret_cast<unsigned char *>(out.data()), &n);
    out.resize(n);
    return out;
}

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string random_bytes(std::size_t n)
{
    std::string out(n, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(out.data()), static_cast<int>(n)) != 1)
        throw std::runtime_error("the random number generator returned no bytes");
    return out;
}

std::string to_base64(std::string_view bytes)
{
    std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()), bytes_of(bytes),
                                  static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

std::optional<std::string> from_base64(std::string_view text)
{
    if (text.empty() || text.size() % 4 != 0)
        return std::nullopt;
    std::string out(text.size() / 4 * 3, '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()), bytes_of(text),
                                  static_cast<int>(text.size()));
    if (n < 0)
        return std::nullopt;
    auto length = static_cast<std::size_t>(n);
    if (text.ends_with("=="))
        length -= 2;
    else if (text.ends_with('='))
        length -= 1;
    out.resize(length);
    return out;
}

} // namespace baobabport::support
