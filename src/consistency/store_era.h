// Eras of the platform's store: how often it has come back from an older copy.

#pragma once

#include <compare>
#include <cstdint>

namespace baobabport::consistency {

/**
 * Counts the times that the store came back from a copy older than its last state.
 *
 * Such a return undoes changes that the store had acknowledged, and gives their revisions out again.
 * Revisions, leases and watch positions are therefore valid in one era only. 0: the store does not report
 * eras.
 */
struct store_era
{
    std::uint64_t number = 0;

    auto operator<=>(const store_era &) const = default;
};

/// A revision of the store. Positions of later eras are later, whatever their revisions.
struct store_position
{
    store_era era;
    std::uint64_t revision = 0;

    auto operator<=>(const store_position &) const = default;
};

} // namespace baobabport::consistency
