// What the duty's holder knows of the other processes: whether they live and whether the store answers them.

#pragma once

#include "support/address.h"

#include <chrono>
#include <map>
#include <string>

namespace baobabport::failover {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/**
 * Tells a store that is down for all from one that only this process cannot reach.
 *
 * While it is down for all, nobody can take the duty over, so its holder may go on. Nobody may be left
 * out of that count: a process that was heard lately and is silent now may be one that the store serves.
 */
class peer_census
{
public:
    /// A process that was heard within this time counts as a member; longer than a planned restart.
    static constexpr milliseconds membership{10000};
    /// A member must have been heard this lately; two of its requests may be lost.
    static constexpr milliseconds freshness{700};
    /// A store that has not answered for this long does not answer.
    static constexpr milliseconds store_silence{1000};

    /// Takes in a request of a process, which says for how long the store has not answered it.
    void heard(const support::address &from, milliseconds store_silent_for, time_point now);

    /// Returns true if the store answers no member. `own_silence`: for how long not this process.
    [[nodiscard]] bool store_is_down(milliseconds own_silence, time_point now) const;

    [[nodiscard]] std::size_t members(time_point now) const;

private:
    struct member
    {
        time_point heard_at;
        milliseconds store_silent_for{0};
    };

    std::map<std::string, member> members_; ///< by address
};

} // namespace baobabport::failover
