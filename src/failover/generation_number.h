// Generation numbers of leaders, which rise even if the store forgets the last one.

#pragma once

#include "consistency/store_era.h"

#include <algorithm>
#include <cstdint>

namespace baobabport::failover {

/// Low bits of a generation number, which count the leaders of one era of the store.
inline constexpr unsigned era_leader_bits = 32;

/// Returns the era of the store in which the generation began.
[[nodiscard]] constexpr consistency::store_era era_of(std::uint64_t generation)
{
    return {generation >> era_leader_bits};
}

/**
 * Returns the number of the next generation after `last`, the highest one known.
 *
 * Within an era the store's record orders the generations. A record from before a return of the store may
 * lack later generations of its own era, so numbers of the new era are above all of those.
 */
[[nodiscard]] constexpr std::uint64_t next_generation(std::uint64_t last, consistency::store_era era)
{
    return std::max(last, era.number << era_leader_bits) + 1;
}

} // namespace baobabport::failover
