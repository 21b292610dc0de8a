// The configuration that operators publish: routes from databases to services, and limits.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::directory {

/// The read consistency that a route provides.
enum class route_kind : std::uint8_t
{
    primary,          ///< all reads go to the primary
    bounded,          ///< reads may be as old as `max_staleness`
    read_your_writes, ///< as `bounded`, and a session reads its own commits
};

struct route
{
    std::string name;
    std::string database; ///< name on which callers open sessions
    std::string service;  ///< group of instances that serves the database
    route_kind kind = route_kind::primary;
    std::chrono::milliseconds statement_timeout{1000};
    std::chrono::milliseconds target_latency{200}; ///< for a complete operation
    std::chrono::milliseconds max_staleness{0};
    std::uint32_t priority = 0; ///< 0 is the highest priority
    bool is_public = false;     ///< callers need no key
    bool operator==(const route &) const = default;
};

struct service
{
    std::string name;
    std::uint32_t max_connections = 1; ///< per instance, from all callers together
    std::uint32_t sync_replicas = 0;   ///< replicas that must receive a commit before it is acknowledged
    bool operator==(const service &) const = default;
};

/// How many operations a workspace may run, over all processes together.
struct quota
{
    double rate_per_s = 0;
    double burst = 0; ///< operations that may exceed the rate after a time of less use
    bool operator==(const quota &) const = default;
};

/// A customer whose callers identify themselves by keys.
struct workspace
{
    std::string name;
    std::vector<std::string> key_hashes; ///< see `workspace::hash_of_key`; the keys are not kept
    std::optional<quota> limit;          ///< none: unlimited
    bool operator==(const workspace &) const = default;
};

struct desired_state
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::optional<std::vector<workspace>> workspaces; ///< none: callers need no keys
    std::chrono::milliseconds transaction_idle{3000}; ///< time limit for an idle open transaction
};

} // namespace baobabport::directory
