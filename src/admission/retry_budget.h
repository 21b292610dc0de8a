// Limits retries to a small share of the successes, so that they cannot amplify an overload.

#pragma once

#include <algorithm>
#include <cstdint>

namespace baobabport::admission {

/**
 * A balance that increases with successes and decreases with retries.
 *
 * Invariant: retries acquired <= `reserve` + successes * percent / 100.
 */
class retry_budget
{
public:
    /// Records a success, which adds `percent` hundredths of a retry.
    void succeeded(std::uint32_t percent)
    {
        balance_ = std::min(balance_ + static_cast<double>(percent) / 100.0, max_balance);
    }

    /**
     * Returns true and deducts one retry if the balance allows it.
     */
    [[nodiscard]] bool try_acquire()
    {
        if (balance_ < 1.0)
            return false;
        balance_ -= 1.0;
        return true;
    }

    static constexpr double reserve = 10.0;

private:
    static constexpr double max_balance = 100.0;
    double balance_ = reserve;
};

} // namespace baobabport::admission
