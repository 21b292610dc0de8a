// What the store keeps of the failover duty beyond the lives of its holders.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobabport::failover {

struct leadership_record
{
    std::uint64_t generation = 0; ///< of the process that took the duty last; 0: none ever did
    bool released = false;        ///< that process gave the duty back
    std::string peer_key;         ///< shared by all processes; drawn by the first holder

    /// The last holder that may act on the word of the other processes, without the store. 0: none.
    std::uint64_t autonomous_generation = 0;
    std::string autonomous_leader; ///< its VM and address

    /// The holder (VM and address) that may have ordered a promotion within
    /// `leadership_takeover::order_separation`; empty: none.
    std::string ordered_by;

    bool operator==(const leadership_record &) const = default;
};

[[nodiscard]] std::string encode(const leadership_record &record);

/// Returns the record, or none if the text is not one.
[[nodiscard]] std::optional<leadership_record> decode_leadership_record(std::string_view text);

} // namespace baobabport::failover
