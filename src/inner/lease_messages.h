// How processes agree that no primary is replaced for a short while: datagrams to the duty's holder.

#pragma once

#include "consistency/position.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabport::inner {

/// Asks the holder of the failover duty for leases on all groups.
struct lease_request
{
    std::uint64_t generation = 0;                  ///< of the holder that is meant
    std::uint64_t number = 0;                      ///< of the request; comes back with the answer
    std::chrono::milliseconds store_silent_for{0}; ///< since the store last answered the asker
    std::uint64_t members_known = 0;               ///< version of the member list that the asker has
    std::string vm;                                ///< the asker
    std::string data_centre;
};

/// A process that other processes can reach.
struct member
{
    std::string vm;
    std::string data_centre;
    std::string address; ///< `IP:PORT`
    bool operator==(const member &) const = default;
};

/// The holder's word that it replaces no primary of the group before the lease ends.
struct primary_lease
{
    std::string service;
    std::string primary;
    std::uint64_t term = 0;
    consistency::position log;            ///< of the primary
    std::chrono::milliseconds log_age{0}; ///< since the log position was asked for
    bool granted = true;                  ///< false: only tells who leads
};

/**
 * Answers a request. The leases run from when the request was sent, by the asker's clock, so a slow
 * answer shortens them.
 */
struct lease_answer
{
    std::uint64_t generation = 0;
    std::uint64_t number = 0;
    std::vector<primary_lease> leases; ///< groups that are not named have none
    /// What the holder knows of the store, so that the others need not ask it themselves.
    std::uint64_t desired_state_version = 0;
    std::chrono::milliseconds desired_state_age{0}; ///< since the store said that it is the newest
    std::uint64_t instances_digest = 0;
    std::chrono::milliseconds instances_age{0}; ///< since the store listed them
    std::uint64_t members_version = 0;
    std::vector<member> members; ///< left out if the asker has this version
};

[[nodiscard]] std::string encode(const lease_request &message);
[[nodiscard]] std::string encode(const lease_answer &message);

/// Return the message, or none if the bytes are not one.
[[nodiscard]] std::optional<lease_request> decode_lease_request(std::string_view bytes);
[[nodiscard]] std::optional<lease_answer> decode_lease_answer(std::string_view bytes);

} // namespace baobabport::inner
