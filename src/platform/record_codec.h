// What the operators and the instances write into the platform's store, read into the product's types.

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
 * Returns the desired state, or none and the reason.
 */
std::optional<directory::desired_state> read_desired_state(const std::string &value, std::string &reason);

/**
 * Returns the instance's record, or none and the reason. `key` is the one that it is stored under.
 */
std::optional<directory::instance_record> read_instance_record(const std::string &key,
                                                               const std::string &value, std::string &reason);

} // namespace baobabport::platform
