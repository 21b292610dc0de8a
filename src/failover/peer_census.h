// What the duty's holder knows of the other processes: which live, and whether the store answers them.

#pragma once

#include "inner/lease_messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::failover {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/**
 * Tells whether the processes that the holder has answered agree that it goes on without the store.
 *
 * A process agrees by a request, sent after a recent answer of the holder, that says that the store left
 * calls of its own unanswered. One that was answered and is silent, or that did not call the store, does not
 * agree.
 */
class membership_tracker
{
public:
    /// A process that was answered counts for this long: as long as `leadership_takeover` takes it for a
    /// witness.
    static constexpr milliseconds member_retention{120000};
    /// An agreement counts for this long from the holder's answer that it follows; one request may be lost.
    static constexpr milliseconds agreement_lifetime{900};
    /// A store that has left calls unanswered for this long does not answer; its usual answer takes 4 ms.
    static constexpr milliseconds store_outage_threshold{300};

    /// A member that was not heard for this long is left out of the list; several requests may be lost.
    static constexpr milliseconds list_retention{1200};

    /// Begins anew, for another tenure of the duty. `members`: stay listed until they are heard.
    void begin(const std::vector<inner::member> &members, time_point now);

    /// Takes in a request that will be answered. `answer_sent_at`: when the holder's last answer to it was
    /// sent; none: it was not answered before.
    void record_request(const inner::member &from, milliseconds store_unanswered_for,
                        std::optional<time_point> answer_sent_at, time_point now);

    /// Takes in that the process at the address leaves and will not take the duty.
    void remove_member(const std::string &address);

    /// Returns the processes heard lately; `version` rises with each change of the list.
    const std::vector<inner::member> &list(time_point now, std::uint64_t &version);

    /// Returns true if every process that was answered agrees, and there is one or none is known at all. A
    /// process that was never answered is no witness: it waits for `leadership_validity::autonomy_limit` if
    /// it takes the duty.
    [[nodiscard]] bool all_agree(time_point now) const;

    /// Returns what each member said and how long ago, for the log.
    [[nodiscard]] std::string summary(time_point now) const;

private:
    struct known_member
    {
        inner::member it;
        time_point last_received_at;
        bool answered = false; ///< in this tenure
        std::optional<time_point> answer_sent_at;
        milliseconds store_unanswered_for{0};
    };

    std::map<std::string, known_member> members_; ///< by address
    std::vector<inner::member> list_;
    std::uint64_t version_ = 0;
};

} // namespace baobabport::failover
