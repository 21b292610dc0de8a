// Finds the workspace that a caller's key identifies.

#pragma once

#include "directory/desired_state.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace baobabport::workspace {

/**
 * Returns the hash by which a key is kept, compared and passed on to other processes: SHA-256, as 64 hex
 * digits.
 */
[[nodiscard]] std::string hash_of_key(std::string_view key);

/// Returns the first digits of a key's hash, by which logs tell keys apart.
[[nodiscard]] std::string short_hash(std::string_view key_hash);

/**
 * The keys of all workspaces of one desired state.
 *
 * Lookups use a hash under a random secret of the process, so that their duration tells nothing about the
 * stored keys.
 */
class key_index
{
public:
    using workspace_pointer = std::shared_ptr<const directory::workspace>;

    key_index();

    /// Replaces all keys by those of the state.
    void apply(const directory::desired_state &state);

    /// Returns true if the state has workspaces, so that callers need keys.
    [[nodiscard]] bool required() const { return required_; }

    /// Returns the workspace that holds the key with this hash, or null.
    [[nodiscard]] workspace_pointer find(std::string_view key_hash) const;

    /// Returns the workspace of that name, or null.
    [[nodiscard]] workspace_pointer find_name(const std::string &name) const;

    [[nodiscard]] std::size_t size() const { return by_key_.size(); }

private:
    [[nodiscard]] std::string lookup_key(std::string_view key_hash) const;

    std::string secret_;
    bool required_ = false;
    std::unordered_map<std::string, workspace_pointer> by_key_; ///< by keyed hash
    std::unordered_map<std::string, workspace_pointer> by_name_;
};

} // namespace baobabport::workspace
