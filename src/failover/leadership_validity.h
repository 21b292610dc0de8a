// How long an elected process may act as the leader, and on which basis.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace baobabport::failover {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// The basis on which a process acts as the leader.
enum class leadership_basis : std::uint8_t
{
    none,  ///< it does not act
    lease, ///< the store confirmed its leader key recently
    peers, ///< the store is unavailable, and every process that it has answered agrees that it continues
};

/// Returns the basis's name in logs.
[[nodiscard]] const char *to_string(leadership_basis basis);

/**
 * Limits how long a leader may act after the store last confirmed its leadership.
 *
 * A confirmation proves that no other process had become leader when the request was sent. It proves nothing
 * about later times, since the store may revoke the leader key at any moment.
 */
class leadership_validity
{
public:
    /// A leader acts on a confirmation for this long; two renewals may remain unanswered.
    static constexpr milliseconds confirmation_lifetime{1000};
    /// Without a confirmation for this long a leader stops in any case; longer than the store's usual
    /// outages.
    static constexpr milliseconds autonomy_limit{30000};

    /// Records that the store confirmed the leadership in answer to a request sent at `requested_at`.
    void record_confirmation(time_point requested_at);

    /// Ends the leadership.
    void end() { confirmed_at_.reset(); }

    /// Returns when the last confirmed request was sent, or none while this process is not the leader.
    [[nodiscard]] std::optional<time_point> confirmed_at() const { return confirmed_at_; }

    /// Returns the basis on which the leader may act now. `peers_agree`: all processes that it has answered
    /// agree that it continues; a successor without contact to any of them waits for `autonomy_limit`.
    [[nodiscard]] leadership_basis basis(bool peers_agree, time_point now) const;

private:
    std::optional<time_point> confirmed_at_;
};

} // namespace baobabport::failover
