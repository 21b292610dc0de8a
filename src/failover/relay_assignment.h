// Which processes the leader answers itself; the others obtain its answers from these.

#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace baobabport::failover {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/**
 * Limits the leader's own exchange to a few processes of each data centre, the relays, whatever the size of
 * the fleet. A data centre with no more processes than that has no relayed ones.
 */
class relay_assignment
{
public:
    /// With three, a process whose relay is lost still has two others to ask.
    static constexpr std::size_t relays_per_data_centre = 3;
    /// A relay without a request for this long is replaced by the next process that asks.
    static constexpr milliseconds retention{700};

    /// Begins another leadership.
    void begin() { relays_.clear(); }

    /// Returns none if the leader is to answer the process at the address, or the relays that it is to ask.
    /// `must_answer`: the leader answers it in any case, since it needs its agreement or its testimony.
    std::vector<std::string> relays_for(const std::string &address, const std::string &data_centre,
                                        bool must_answer, time_point now);

    /// Removes the process at the address, which is shutting down.
    void remove(const std::string &address);

private:
    using data_centre_relays = std::map<std::string, time_point>; ///< address and time of the last request

    std::map<std::string, data_centre_relays> relays_; ///< by data centre
};

} // namespace baobabport::failover
