// When the process that took the failover duty may act as its holder, and on what ground.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace baobabport::failover {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// On what a process relies when it acts as the holder of the duty.
enum class leadership_basis : std::uint8_t
{
    none,  ///< it does not act
    lease, ///< the store confirmed its key lately
    peers, ///< the store is away, and every process that it has answered agrees that it goes on
};

/// Returns the ground's name in logs.
[[nodiscard]] const char *to_string(leadership_basis basis);

/**
 * Bounds what a holder may do by the store's last confirmation that it holds the duty.
 *
 * A confirmation proves that nobody else had taken the duty when the question was sent; it says nothing of
 * later times, since the store may take the key away at any moment.
 */
class leadership_validity
{
public:
    /// The holder acts on a confirmation for this long; two renewals may stay without an answer.
    static constexpr milliseconds confirmation_lifetime{1000};
    /// Without a confirmation for this long it stops in any case; longer than the store's usual outages.
    static constexpr milliseconds autonomy_limit{30000};

    /// Takes in that the store confirmed the duty, to a question sent at that time.
    void record_confirmation(time_point requested_at);

    /// Ends the tenure.
    void end() { confirmed_at_.reset(); }

    /// Returns when the question was sent that the store confirmed last, or none outside of a tenure.
    [[nodiscard]] std::optional<time_point> confirmed_at() const { return confirmed_at_; }

    /// Returns the ground on which the holder acts now. `peers_agree`: all processes that it has answered
    /// agree that it goes on, and a successor that knows none of them waits for `autonomy_limit`.
    [[nodiscard]] leadership_basis basis(bool peers_agree, time_point now) const;

private:
    std::optional<time_point> confirmed_at_;
};

} // namespace baobabport::failover
