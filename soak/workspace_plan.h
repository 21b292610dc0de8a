// The workspaces of a seed, their random changes, and the keys that callers present.

#pragma once

#include "workspace_account.h"

#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <vector>

namespace soak {

/**
 * Gives away, moves, replaces and removes keys at random. Callers mostly present keys in force, sometimes one
 * of an earlier state or one that was in none.
 */
class workspace_plan
{
public:
    /// With this, each key begins; it appears nowhere else.
    static constexpr const char *key_mark = "k3y-";

    explicit workspace_plan(std::mt19937_64 &random);

    [[nodiscard]] const workspace_account::workspaces &state() const { return state_; }

    /// Returns the list `tenants` of a desired state.
    [[nodiscard]] nlohmann::json tenants() const;

    /// Makes one random change and returns its description, which names no key.
    std::string change();

    /// Replaces each key by a new one.
    void replace_all_keys();

    [[nodiscard]] std::string pick_key();

private:
    std::string new_key();
    std::string take_random_key(const std::string &workspace);
    std::uint64_t random(std::uint64_t below) { return random_() % below; }

    std::mt19937_64 &random_;
    workspace_account::workspaces state_;
    std::vector<std::string> names_;
    std::vector<std::string> issued_; ///< all keys that were in a state
    std::uint64_t last_key_ = 0;
};

} // namespace soak
