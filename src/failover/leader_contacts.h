// When the leaders that a process requested leases from last answered it.

#pragma once

#include "inner/lease_messages.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace baobabport::failover {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/**
 * Records when the last few leaders answered this process, and when it reported a store outage to them.
 *
 * An autonomous leader acts only while every process that it has answered keeps agreeing. A request of such
 * a process to another leader therefore proves that the autonomous leader stops at the latest
 * `membership_tracker::agreement_lifetime` later.
 */
class leader_contacts
{
public:
    /// Leaders recorded; more than can succeed each other within `leadership_takeover::evidence_age`.
    static constexpr std::size_t max_leaders = 4;

    /// Records an answer to a request sent at `requested_at`. `leader_timestamp`: the leader's own time in
    /// the answer.
    void record_answer(std::uint64_t generation, std::uint64_t leader_timestamp, time_point requested_at);

    /// Records that this process reports a store outage to the leader: it agrees that the leader continues.
    void record_agreement(std::uint64_t generation, time_point now);

    /// Returns the leader's own time in its last answer, or 0 if it has not answered.
    [[nodiscard]] std::uint64_t timestamp_of(std::uint64_t generation) const;

    /// Returns the contacts with leaders of earlier generations.
    [[nodiscard]] std::vector<inner::leader_contact> before(std::uint64_t generation, time_point now) const;

private:
    struct contact
    {
        std::uint64_t generation = 0;
        std::uint64_t leader_timestamp = 0;
        time_point first_requested_at;
        time_point requested_at;
        std::optional<time_point> agreed_at;
    };

    contact *find(std::uint64_t generation);

    std::deque<contact> contacts_; ///< oldest first
};

} // namespace baobabport::failover
