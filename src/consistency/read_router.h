// Chooses the instance that serves a read.

#pragma once

#include "consistency/group_view.h"

#include <optional>
#include <string_view>
#include <vector>

namespace baobabport::consistency {

/// What a read needs of an instance.
struct read_needs
{
    position floor;                         ///< the answer must be at or past it
    std::chrono::milliseconds staleness{0}; ///< 0: the floor alone says how fresh
    bool linearizable = false;              ///< only the primary of the confirmed term will do
    bool long_statement = false;
    bool urgent = false; ///< has waited so long that the primary may help out
};

/// What an instance has free, as the home counts it.
struct instance_capacity
{
    bool usable = false; ///< healthy, not leaving, with an idle connection
    std::uint32_t free_slots = 0;
    std::uint32_t slots = 0;
    std::uint32_t long_running = 0;
    std::uint32_t long_slots = 0; ///< slots that long work may hold
};

/// The chosen instance, or the last reason why there is none.
struct read_choice
{
    std::optional<instance_id> instance;
    std::string_view last_reason;
};

/**
 * Returns the instance that should serve the read, or no instance and the reason.
 *
 * Replicas go before the primary. Long work gathers on one replica and leaves slots free on each, so that
 * short work never waits behind it.
 */
[[nodiscard]] read_choice choose_instance(const group_view &group,
                                          const std::vector<instance_capacity> &capacities,
                                          const read_needs &needs, time_point now);

} // namespace baobabport::consistency
