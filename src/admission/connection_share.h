// How many of an instance's connections one process may open.
//
// Answers the load of a fleet that starts again all at once: until the processes know each other, none knows
// the homes of the instances, and each would open connections of its own.

#pragma once

#include <chrono>
#include <cstdint>

namespace baobabport::admission {

struct connection_share
{
    /// The home's share of an instance's connections; the rest is left to the next home and to the leader.
    static constexpr std::uint32_t home_percent = 70;
    /// A process that knows no others for this long uses one connection: it may be cut off from them, and
    /// nobody else serves its callers.
    static constexpr std::chrono::milliseconds isolation_delay{3000};

    std::uint32_t max_connections = 1; ///< of the instance, from all processes
    std::uint32_t fleet_size = 0;      ///< processes, as last recorded; 0: not known
    bool homes_known = false;          ///< this process knows the others and so the instances' homes

    /// Returns the share; it may be 0 until the homes are known. `running_for`: since the process started.
    [[nodiscard]] std::uint32_t limit(std::chrono::milliseconds running_for) const;
};

} // namespace baobabport::admission
