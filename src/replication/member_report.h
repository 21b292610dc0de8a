// Replication status that one instance of a group reports.

#pragma once

#include "consistency/instance_status.h"

#include <cstdint>

namespace baobabport::replication {

struct member_report
{
    consistency::instance_role role = consistency::instance_role::replica;
    std::uint64_t term = 0;         ///< of its log
    consistency::position received; ///< the end of its log, applied or not
    std::uint64_t paused_at = 0;    ///< term of the pause that stopped its replication; 0: it is not paused
    std::uint32_t busy_slots = 0;
    std::uint32_t connections = 0; ///< from all callers
};

} // namespace baobabport::replication
