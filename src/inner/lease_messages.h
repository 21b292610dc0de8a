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

/// What a process remembers of an earlier holder of the failover duty. Ages are those at the time of sending.
struct leader_contact
{
    std::uint64_t generation = 0;
    std::chrono::milliseconds first_answered_ago{0}; ///< since the first request that it answered was sent
    std::chrono::milliseconds answered_ago{0};       ///< since the last one was sent
    /// Since a request last told it that the store does not answer the asker; none: never.
    std::optional<std::chrono::milliseconds> agreed_ago;
};

/// Asks the holder of the failover duty for leases on all groups.
struct lease_request
{
    std::uint64_t generation = 0; ///< of the holder that is meant
    std::uint64_t number = 0;     ///< of the request; comes back with the answer
    /// For how long the store has left calls of the asker unanswered; 0 also if the asker has not called it.
    std::chrono::milliseconds store_unanswered_for{0};
    std::uint64_t leader_timestamp = 0; ///< of the holder's last answer; 0: none yet
    std::uint64_t members_known = 0;    ///< version of the member list that the asker has
    std::string vm;                     ///< the asker; empty: it leaves, and never takes the duty
    std::string data_centre;
    std::vector<leader_contact> earlier; ///< holders before the one that is meant
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
    std::uint64_t leader_timestamp = 0; ///< the holder's time; the asker's next request brings it back
    bool acting = true; ///< false: nothing but the stamp counts, and nobody may rely on the holder
    bool store_check_requested = false; ///< the holder wants to know whether the store answers the asker
    std::vector<primary_lease> leases;  ///< groups that are not named have none
    /// What the holder knows of the store, so that the others need not ask it themselves.
    std::uint64_t desired_state_version = 0;
    std::chrono::milliseconds desired_state_age{0}; ///< since the store said that it is the newest
    std::uint64_t instances_digest = 0;
    std::chrono::milliseconds instances_age{0}; ///< since the store listed them
    std::uint64_t members_version = 0;
    std::vector<member> members; ///< left out if the asker has this version
};

/// Returns the time as the stamp of an answer.
[[nodiscard]] std::uint64_t timestamp_of(std::chrono::steady_clock::time_point now);

/// Returns when the holder sent the answer whose stamp the request brings back, or none if there was none.
[[nodiscard]] std::optional<std::chrono::steady_clock::time_point>
answer_sent_at(const lease_request &request, std::chrono::steady_clock::time_point now);

[[nodiscard]] std::string encode(const lease_request &message);
[[nodiscard]] std::string encode(const lease_answer &message);

/// Return the message, or none if the bytes are not one.
[[nodiscard]] std::optional<lease_request> decode_lease_request(std::string_view bytes);
[[nodiscard]] std::optional<lease_answer> decode_lease_answer(std::string_view bytes);

} // namespace baobabport::inner
