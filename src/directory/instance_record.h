// What an instance registers about itself.

#pragma once

#include "consistency/instance_status.h"
#include "support/address.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace baobabport::directory {

enum class instance_state : std::uint8_t
{
    ready,
    draining, ///< about to leave: no new work
};

struct instance_record
{
    std::string id;
    std::string service;
    std::string data_centre;
    support::address at;
    instance_state state = instance_state::ready;
    /// A leaving instance gets new work until then; filled in by the directory.
    std::optional<std::chrono::steady_clock::time_point> accepts_until;
    consistency::instance_role role = consistency::instance_role::replica; ///< as it sees itself
    std::uint32_t slots = 1;                 ///< statements it runs at the same time
    std::chrono::milliseconds warm_up{0};    ///< it stays slow for this long
    std::chrono::milliseconds started_at{0}; ///< since the Unix epoch; another value is another process
};

} // namespace baobabport::directory
