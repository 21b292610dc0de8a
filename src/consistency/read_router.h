// Chooses the instance that serves a read.

#pragma once

#include "consistency/group_view.h"

#include <optional>
#include <string_view>
#include <vector>

namespace baobabport::consistency {

/// Requirements of a read on the instance that serves it.
struct read_needs
{
    position floor;                         ///< the answer must be at or past it
    std::chrono::milliseconds staleness{0}; ///< maximum age of the data; 0: only the floor limits it
    bool linearizable = false;              ///< only the primary of the confirmed term may serve it
    bool long_statement = false;
    bool urgent = false; ///< it has waited so long that the primary may serve it, too
};

/// Free capacity of an instance, as counted by the home.
struct instance_capacity
{
    bool usable = false; ///< healthy, not leaving, with an idle connection
    std::uint32_t free_slots = 0;
    std::uint32_t slots = 0;
    std::uint32_t long_running = 0;
    std::uint32_t long_slots = 0; ///< slots that long-running statements may use
};

/// The chosen instance, or the reason why there is none.
struct read_choice
{
    std::optional<instance_id> instance;
    std::string_view reason;
};

/**
 * Returns the instance that should serve the read, or no instance and the reason.
 *
 * Replicas are preferred to the primary. Long-running statements gather on one replica and leave slots free
 * on each, so that short statements never wait for them.
 */
[[nodiscard]] read_choice choose_instance(const group_view &group,
                                          const std::vector<instance_capacity> &capacities,
                                          const read_needs &needs, time_point now);

} // namespace baobabport::consistency
