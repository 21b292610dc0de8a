// Parses the records that operators and instances write into the platform's store.

#pragma once

#include "directory/desired_state.h"
#include "directory/instance_record.h"

#include <optional>
#include <string>

namespace baobabport::platform {

inline constexpr const char *desired_state_key = "op/config";
inline constexpr const char *desired_state_prefix = "op/";
inline constexpr const char *instances_prefix = "servers/";

/**
 * Returns the desired state, or none and the reason why the value is invalid.
 */
std::optional<directory::desired_state> read_desired_state(const std::string &value, std::string &reason);

/**
 * Returns the instance's record, or none and the reason why the value is invalid. `key` is its key in the
 * store.
 */
std::optional<directory::instance_record> read_instance_record(const std::string &key,
                                                               const std::string &value, std::string &reason);

} // namespace baobabport::platform
