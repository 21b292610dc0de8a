// What a process may report about a request's effect.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace baobabport::consistency {

/**
 * Whether a request ran or may have run.
 *
 * Every hop forwards a verdict as received; no hop replaces `unknown` with another one.
 */
enum class verdict : std::uint8_t
{
    ran,     ///< it ran once, and its effect is kept
    not_run, ///< proven: never sent, refused before running, or rolled back
    unknown, ///< it may have run
};

/**
 * Returns the verdict's name as used in answers and logs.
 */
[[nodiscard]] std::string_view to_string(verdict value);

/**
 * Returns the verdict of that name, or none if there is no such verdict.
 */
[[nodiscard]] std::optional<verdict> verdict_from_string(std::string_view name);

} // namespace baobabport::consistency
