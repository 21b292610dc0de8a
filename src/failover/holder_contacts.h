// What a process remembers of the holders of the failover duty that it asked for leases.

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
 * Remembers when the last few holders answered this process, and when it told them that the store is away.
 *
 * A holder without the store acts only while each process that it has answered keeps agreeing. A process that
 * it answered and that now follows another holder is therefore a proof that it has stopped.
 */
class leader_contacts
{
public:
    /// Holders remembered; more than can follow each other within `leadership_takeover::evidence_age`.
    static constexpr std::size_t max_leaders = 4;

    /// Takes in an answer to a request sent at `requested_at`. `leader_timestamp`: the holder's own time in
    /// it.
    void answered(std::uint64_t generation, std::uint64_t leader_timestamp, time_point requested_at);

    /// Takes in that a request says that the store does not answer this process.
    void agreed(std::uint64_t generation, time_point now);

    /// Returns the time in the holder's last answer, or 0 if it has not answered.
    [[nodiscard]] std::uint64_t timestamp_of(std::uint64_t generation) const;

    /// Returns the contacts with holders before the generation.
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
