// The order of a database group's log across changes of primary.

#pragma once

#include <compare>
#include <cstdint>

namespace baobabport::consistency {

/**
 * A position in a database group's log.
 *
 * Positions are ordered by term first: a longer log of an older term is not ahead.
 */
struct position
{
    std::uint64_t term = 0;
    std::uint64_t offset = 0; ///< number of entries from the start of the log

    auto operator<=>(const position &) const = default;
};

} // namespace baobabport::consistency
