// The settings of one process, read from its settings file.

#pragma once

#include "home/database_home.h"
#include "support/address.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::settings {

/// A pooler that entries and other poolers connect to.
struct pooler_config
{
    std::string name;
    std::uint32_t vm_number = 0;
    std::string data_centre;
    support::address inner;
};

/// An upstream: one instance of a database group.
struct instance_config
{
    std::string name;
    std::string data_centre;
    support::address at;
};

/// A database and the group of instances that serves it.
struct database_config
{
    std::string name;
    std::uint32_t slots = 2;        ///< statements that an instance runs concurrently
    std::uint32_t connections = 16; ///< maximum that an instance accepts
    std::vector<instance_config> instances;
};

/// A process and its address for operators; used by tools.
struct process_config
{
    std::string name;
    support::address operators;
};

/// Secret keys; never logged or dumped. A former key is still accepted during key rotation.
struct key_ring
{
    std::string inner;
    std::string former_inner;
    std::string session;
    std::string former_session;
    std::string operators;
    std::string former_operators;
};

/// Limits of an entry for requests of callers.
struct entry_limits
{
    std::uint32_t body_bytes = 256 * 1024;
    std::uint32_t in_progress = 5000;
    std::uint32_t in_progress_per_database = 2500;
};

/**
 * All settings of a process.
 */
struct process_settings
{
    std::string process;
    std::uint32_t vm_number = 0;
    std::string data_centre;
    std::optional<support::address> callers; ///< entry: listening address for callers
    std::optional<support::address> inner;   ///< pooler: listening address for other processes
    support::address operators;
    support::address store;
    std::vector<pooler_config> poolers;
    std::vector<database_config> databases;
    std::vector<process_config> processes; ///< all entries and poolers; used by tools
    key_ring keys;
    entry_limits limits;
    home::policy_kind policy = home::policy_kind::session;
    std::chrono::milliseconds stop_within{20000}; ///< a planned stop waits this long for requests in progress
};

/**
 * Returns a seed for random choices that depends on the name of the process, so that processes differ.
 */
[[nodiscard]] inline std::uint64_t seed_of(const process_settings &settings)
{
    return std::hash<std::string>{}(settings.process);
}

} // namespace baobabport::settings
