// The tokens of one workspace that a VM has issued to itself and not spent.

#pragma once

#include "quota/stock_bounds.h"

#include <cstdint>

namespace baobabport::quota {

/**
 * A token bucket whose bound includes what was deposited or reserved and is not acknowledged yet.
 *
 * Invariant: between calls, `stock` plus what is not acknowledged <= `stock_bounds::local`, unless more was
 * withdrawn for operations that wait.
 */
class local_bucket
{
public:
    /// Operations are counted with this time constant.
    static constexpr milliseconds demand_time{1000};
    /// Tokens for this much of the demand are withdrawn in advance, and kept when the rest is deposited.
    static constexpr milliseconds advance_time{400};
    /// At most this share of the bound is kept; the rest is the issue until the next deposit.
    static constexpr double kept_share = 0.2;

    explicit local_bucket(time_point now) : issued_until_(now) {}

    /// Issues at the earlier rate until now, and applies the new one. A rate of 0 issues nothing.
    void set_rate(double per_s, double bound, time_point now);

    /// Issues what has become due since the last call.
    void issue(time_point now);

    /// Takes one token; false: there is no whole one. Counts as demand.
    [[nodiscard]] bool take(time_point now);

    /// Takes one token for an operation that `take` has counted already.
    [[nodiscard]] bool take_again();

    /// Adds withdrawn tokens, which may exceed the bound until `trim`.
    void add(double tokens) { stock_ += tokens; }
    void trim();

    /// Removes at most that many milli-tokens, to be used together with withdrawn ones, and returns how many.
    /// They count towards the bound until `acknowledge`.
    [[nodiscard]] std::int64_t reserve(std::int64_t milli_tokens);

    /// Returns the tokens to withdraw in advance for further demand, in whole ones. Those of withdrawals in
    /// progress are not asked for again.
    [[nodiscard]] std::int64_t advance(time_point now);

    /// Records the end of a withdrawal that asked for so many tokens in advance.
    void end_advance(std::int64_t tokens);

    /// Removes and returns the milli-tokens that are not needed here. They count towards the bound until
    /// `acknowledge`.
    [[nodiscard]] std::int64_t remove_surplus(time_point now);
    void acknowledge(std::int64_t milli_tokens);

    [[nodiscard]] double stock() const { return stock_; }

private:
    void decay(time_point now);

    double rate_ = 0;  ///< of this VM, per second
    double bound_ = 0; ///< of the stock
    double stock_ = 0;
    double unacknowledged_ = 0; ///< deposited or reserved
    double demand_ = 0;         ///< operations per second, decaying
    double advancing_ = 0;      ///< asked for in advance by withdrawals in progress
    time_point issued_until_;
    time_point decayed_at_;
};

} // namespace baobabport::quota
