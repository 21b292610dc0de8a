// The datagrams by which processes obtain leases on the primaries from the leader.

#pragma once

#include "consistency/position.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabport::inner {

/// A process's record of its contact with an earlier leader. Ages are those at the time of sending.
struct leader_contact
{
    std::uint64_t generation = 0;
    std::chrono::milliseconds first_answered_ago{0}; ///< since the first request that it answered was sent
    std::chrono::milliseconds answered_ago{0};       ///< since the last request that it answered was sent
    /// Since a request last reported to it that the store does not respond to the requester; none: never.
    std::optional<std::chrono::milliseconds> agreed_ago;
};

/// A process that other processes can reach.
struct member
{
    std::string vm;
    std::string data_centre;
    std::string address; ///< `IP:PORT`
    bool operator==(const member &) const = default;
};

/// One change of the leader's list of processes.
struct member_change
{
    std::uint64_t version = 0; ///< of the list with this change
    member process;
    bool present = true; ///< false: it has left
};

/// A part of the leader's list of processes; see `failover::member_log`.
struct member_changes
{
    std::uint64_t generation = 0; ///< of the leader whose list it is; 0: there is no part
    std::uint64_t base = 0;       ///< the part continues this version; 0: an empty list
    std::uint64_t version = 0;    ///< of the list with the part
    std::uint64_t newest = 0;     ///< of the whole list
    std::vector<member_change> changes;
};

/// Requests leases on all groups from the leader, or its answer from a relay.
struct lease_request
{
    std::uint64_t generation = 0; ///< of the leader that is addressed
    std::uint64_t number = 0;     ///< of the request; the answer repeats it
    /// How long the store has not answered the requester's calls; 0 also if the requester has not called it.
    std::chrono::milliseconds store_unanswered_for{0};
    std::uint64_t leader_timestamp = 0; ///< of the leader's last answer; 0: none yet
    std::uint64_t members_known = 0;    ///< version of the member list that the requester has
    std::string vm;                     ///< the requester; empty: it is leaving and never becomes leader
    std::string data_centre;
    std::vector<leader_contact> earlier; ///< leaders before the one that is addressed

    bool accepts_relay = false;        ///< false: of an older build, which the leader answers itself
    std::uint64_t list_generation = 0; ///< of the copy of the member list that the requester has
    std::uint64_t list_version = 0;
    std::uint64_t followers_version = 0;          ///< of the processes that the requester answers as a relay
    std::optional<std::vector<member>> followers; ///< none: the leader has that version
};

/// The leader's guarantee that it does not replace the group's primary before the lease ends.
struct primary_lease
{
    std::string service;
    std::string primary;
    std::uint64_t term = 0;
    consistency::position log;            ///< of the primary
    std::chrono::milliseconds log_age{0}; ///< since the log position was requested
    bool granted = true;                  ///< false: only names the primary; there is no lease
};

/**
 * Answers a lease request. A lease runs from when the request was sent, by the requester's clock, so a slow
 * answer shortens it.
 */
struct lease_answer
{
    std::uint64_t generation = 0;
    std::uint64_t number = 0;
    std::uint64_t leader_timestamp = 0; ///< the leader's time; the requester's next request echoes it
    bool acting = true; ///< false: only the timestamp is valid, and the leader must not be relied on
    bool store_check_requested = false; ///< the requester is to check whether the store responds to it
    std::vector<primary_lease> leases;  ///< groups that are not listed have no lease
    /// What the leader last read from the store, so that its followers need not read the store themselves.
    std::uint64_t desired_state_version = 0;
    std::chrono::milliseconds desired_state_age{0}; ///< since the store confirmed it as the newest
    std::uint64_t instances_digest = 0;
    std::chrono::milliseconds instances_age{0}; ///< since the store listed them
    std::uint64_t members_version = 0;
    std::vector<member> members; ///< empty if the requester has this version; for older builds

    /// The processes to ask in place of the leader. If there are any, the answer contains nothing else and is
    /// no contact with the leader: it does not need the requester's agreement.
    std::vector<std::string> relays;
    /// Of a relayed answer: since the relay's request that the leader answered. Leases and ages count from
    /// that much before the requester's own request.
    std::optional<std::chrono::milliseconds> relayed_age;
    member leader; ///< of a relayed answer
    member_changes part;
    std::uint64_t followers_version = 0; ///< that the leader has of the requester
};

/// Returns the time as the timestamp of an answer, in milliseconds of the steady clock.
[[nodiscard]] std::uint64_t timestamp_of(std::chrono::steady_clock::time_point now);

/// Returns when the leader sent the answer whose timestamp the request echoes. None if the request echoes no
/// timestamp, or one that is later than `now`.
[[nodiscard]] std::optional<std::chrono::steady_clock::time_point>
answer_sent_at(const lease_request &request, std::chrono::steady_clock::time_point now);

[[nodiscard]] std::string encode(const lease_request &message);
[[nodiscard]] std::string encode(const lease_answer &message);

/// Return the decoded message, or none if the bytes are not a message of that type.
[[nodiscard]] std::optional<lease_request> decode_lease_request(std::string_view bytes);
[[nodiscard]] std::optional<lease_answer> decode_lease_answer(std::string_view bytes);

} // namespace baobabport::inner
