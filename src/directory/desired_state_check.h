// Checks of a desired state that is valid but may not do what its authors mean, and its comparison with
// another.

#pragma once

#include "directory/desired_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::directory {

enum class finding_level : std::uint8_t
{
    warning, ///< processes accept the state, but a part has no effect or contradicts another
    error,   ///< processes refuse or ignore the state
};

/// Something that is wrong with a desired state. No finding contains a key.
struct finding
{
    finding_level level = finding_level::warning;
    std::string path; ///< in the JSON text, for example `tenants[2].burst`
    std::string text;
    bool operator==(const finding &) const = default;
};

/// What the check cannot read from a desired state.
struct check_assumptions
{
    std::optional<std::uint32_t> slots; ///< of all instances together; none: not known
};

/// A connection or a slot runs at most this many operations per second: none takes less than 1 ms.
inline constexpr double max_operations_per_s = 1000;

/**
 * Returns the entries that can never match, and the limits that contradict each other, in the order of the
 * text's lists.
 */
[[nodiscard]] std::vector<finding> check_desired_state(const desired_state &state,
                                                       const check_assumptions &assumed);

/// Returns an error if processes that have applied `in_force` would ignore the state for its version.
[[nodiscard]] std::optional<finding> check_version(const desired_state &state, const desired_state &in_force);

enum class change_kind : std::uint8_t
{
    added,
    removed,
    changed,
};

/// A difference between two desired states. Keys are given by the first 8 digits of their hashes.
struct state_change
{
    change_kind kind = change_kind::changed;
    std::string what; ///< `route`, `service`, `workspace` or `limit`
    std::string name; ///< of a route: its database
    std::string detail;
    bool operator==(const state_change &) const = default;
};

/// Returns what the state changes in `in_force`; of several routes of one database only the first counts.
[[nodiscard]] std::vector<state_change> compare_states(const desired_state &state,
                                                       const desired_state &in_force);

} // namespace baobabport::directory
