#include "workspace/key_index.h"

#include "support/keys.h"

#include <array>
#include <openssl/evp.h>

namespace baobabport::workspace {

namespace {

constexpr std::size_t secret_size = 32;    // bytes
constexpr std::size_t short_hash_size = 8; // hex digits

} // namespace

std::string hash_of_key(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(key.data(), key.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (std::size_t n = 0; n < size; ++n) {
        out += digits[digest.at(n) / digits.size()];
        out += digits[digest.at(n) % digits.size()];
    }
    return out;
}

std::string short_hash(std::string_view key_hash)
{
    return std::string(key_hash.substr(0, short_hash_size));
}

key_index::key_index() : secret_(support::random_bytes(secret_size)) {}

void key_index::apply(const directory::desired_state &state)
{
    by_key_.clear();
    by_name_.clear();
    required_ = state.workspaces.has_value();
    if (!required_)
        return;
    for (const auto &it : *state.workspaces) {
        const auto entry = std::make_shared<const directory::workspace>(it);
        by_name_.emplace(it.name, entry);
        for (const auto &hash : it.key_hashes)
            by_key_.emplace(lookup_key(hash), entry);
    }
}

key_index::workspace_pointer key_index::find(std::string_view key_hash) const
{
    const auto it = by_key_.find(lookup_key(key_hash));
    return it == by_key_.end() ? nullptr : it->second;
}

key_index::workspace_pointer key_index::find_name(const std::string &name) const
{
    const auto it = by_name_.find(name);
    return it == by_name_.end() ? nullptr : it->second;
}

std::string key_index::lookup_key(std::string_view key_hash) const
{
    return support::hmac_sha256(secret_, key_hash);
}

} // namespace baobabport::workspace
