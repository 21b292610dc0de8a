// Bounds of a process that follow from the size of its VM.

#pragma once

#include "limits/memory_account.h"

#include <cstddef>
#include <cstdint>

namespace baobabport::limits {

/// How many connections each class of clients may have open.
struct descriptor_shares
{
    std::size_t callers = 0;
    std::size_t peers = 0;
    std::size_t operators = 0; ///< at each of the ports
};

/**
 * Returns the bytes that each class may make the process hold, by the VM's memory in MiB; 0: not known.
 *
 * The process itself needs about 24 MiB. Of the rest, 40% is left for what the account does not count: unused
 * capacity of buffers, the allocator, answers of instances while they arrive.
 */
[[nodiscard]] memory_account::class_bounds memory_bounds(std::uint64_t memory_mb);

/**
 * Returns the connections of each class, by the number of descriptors that the process may have open.
 *
 * 200 are for files and listeners. About a quarter of the rest stays for connections to instances, other
 * processes and the store.
 */
[[nodiscard]] descriptor_shares connection_bounds(std::uint64_t max_fds);

} // namespace baobabport::limits
