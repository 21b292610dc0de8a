// Status that one instance of a database group reports about itself.

#pragma once

#include "consistency/position.h"

#include <cstdint>

namespace baobabport::consistency {

/// Index of an instance within its group, in the order of the settings.
using instance_id = std::uint32_t;

/**
 * The role of an instance in its group.
 */
enum class instance_role : std::uint8_t
{
    replica,
    primary
};

/**
 * An instance's answer to a status, fence or promote command.
 *
 * Invariant, ensured by the instance: it accepts no write and no replication of a term below `promised_term`.
 */
struct instance_status
{
    instance_role role = instance_role::replica;
    std::uint64_t promised_term = 0; ///< highest term it was fenced or promoted at
    position log;                    ///< position of its last entry

    bool operator==(const instance_status &) const = default;
};

} // namespace baobabport::consistency
