// Parses the records that operators and instances write into the platform's store.

#pragma once

#include "directory/desired_state.h"
#include "directory/instance_record.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace baobabport::platform {

inline constexpr const char *desired_state_key = "op/config";
inline constexpr const char *desired_state_prefix = "op/";
inline constexpr const char *instances_prefix = "servers/";

/// Limits of what a record may name; anything beyond is another writer's mistake.
inline constexpr std::uint32_t max_slots = 65535;
inline constexpr std::uint32_t max_connections = 1000000;
inline constexpr std::chrono::milliseconds longest_time = std::chrono::hours(24);
inline constexpr std::size_t max_word = 1024;     ///< bytes of a workspace's name or of a key
inline constexpr double max_rate = 1'000'000'000; ///< operations per second, or in a burst

/**
 * Returns the desired state, or none and the reason why the value is invalid. The reason contains no key.
 */
std::optional<directory::desired_state> read_desired_state(const std::string &value, std::string &reason);

/**
 * Returns a valid desired state with each key replaced by `sha256:` and its hash, which `read_desired_state`
 * accepts in place of the key. Other processes get the state in this form.
 */
std::string without_keys(const std::string &value);

/**
 * Returns the instance's record, or none and the reason why the value is invalid. `key` is its key in the
 * store.
 */
std::optional<directory::instance_record> read_instance_record(const std::string &key,
                                                               const std::string &value, std::string &reason);

} // namespace baobabport::platform
