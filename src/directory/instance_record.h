// The record that an instance registers in the store.

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
    draining, ///< leaves soon; gets no new statements after `accepts_until`
};

struct instance_record
{
    std::string id;
    std::string service;
    std::string data_centre;
    support::address at;
    instance_state state = instance_state::ready;
    /// A draining instance gets new statements until then. Set by the directory.
    std::optional<std::chrono::steady_clock::time_point> accepts_until;
    consistency::instance_role role = consistency::instance_role::replica; ///< as reported by the instance
    std::uint32_t slots = 1;                 ///< statements that it runs concurrently
    std::chrono::milliseconds warm_up{0};    ///< duration for which it responds slowly
    std::chrono::milliseconds started_at{0}; ///< since the Unix epoch; differs for each process
};

} // namespace baobabport::directory
