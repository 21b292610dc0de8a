// Terms that no two proposers can share.

#pragma once

#include <cstdint>

namespace baobabport::failover {

inline constexpr unsigned vm_number_bits = 16;
inline constexpr std::uint64_t max_vm_number = (1U << vm_number_bits) - 1;

/**
 * Returns the lowest term of this VM that is above every term seen.
 *
 * The low bits contain the VM's number, so two VMs never propose the same term.
 */
[[nodiscard]] constexpr std::uint64_t next_term(std::uint64_t highest_seen, std::uint32_t vm_number)
{
    const auto round = (highest_seen >> vm_number_bits) + 1;
    return (round << vm_number_bits) | vm_number;
}

} // namespace baobabport::failover
