// What the operators want in force: routes from databases to services, and limits.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace baobabport::directory {

/// Which reads a route allows.
enum class route_kind : std::uint8_t
{
    primary,          ///< all reads at the primary
    bounded,          ///< reads may be as old as `max_staleness`
    read_your_writes, ///< as `bounded`, and a session sees its own commits
};

struct route
{
    std::string name;
    std::string database; ///< what callers open sessions on
    std::string service;  ///< the group of instances behind it
    route_kind kind = route_kind::primary;
    std::chrono::milliseconds statement_timeout{1000};
    std::chrono::milliseconds target_latency{200}; ///< for a whole operation
    std::chrono::milliseconds max_staleness{0};
    std::uint32_t priority = 0; ///< 0 is the most urgent
    bool operator==(const route &) const = default;
};

struct service
{
    std::string name;
    std::uint32_t max_connections = 1; ///< to each instance, from all callers together
    std::uint32_t sync_replicas = 0;   ///< replicas that must have received a commit before it counts
    bool operator==(const service &) const = default;
};

struct desired_state
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::chrono::milliseconds transaction_idle{3000}; ///< an open transaction may rest this long
};

} // namespace baobabport::directory
