// What one instance of a group says about its replication.

#pragma once

#include "consistency/instance_status.h"

#include <cstdint>

namespace baobabport::replication {

struct member_report
{
    consistency::instance_role role = consistency::instance_role::replica;
    std::uint64_t term = 0;         ///< of its log
    consistency::position received; ///< the end of its log, applied or not
    std::uint64_t paused_at = 0;    ///< term at which it was told to stop receiving; 0: it receives
    std::uint32_t busy_slots = 0;
    std::uint32_t connections = 0; ///< from all callers
};

} // namespace baobabport::replication
