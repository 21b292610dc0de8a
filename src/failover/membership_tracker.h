// The leader's view of the other processes: which are running, and whether the store responds to them.

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
 * Determines whether the processes that the leader has answered agree that it continues without the store.
 *
 * A process agrees by a request, sent after a recent answer of the leader, which reports that the store left
 * the process's own calls unanswered. A process that was answered and is now unresponsive, or that did not
 * call the store, does not agree.
 */
class membership_tracker
{
public:
    /// The agreement of a process that was answered is required for this long: at least as long as
    /// `leadership_takeover` accepts its request as proof that the leader has stopped.
    static constexpr milliseconds member_retention{120000};
    /// An agreement is valid for this long after the leader's answer before it; one request may be lost.
    static constexpr milliseconds agreement_lifetime{900};
    /// A store that has left calls unanswered for this long is unavailable; it usually answers within 4 ms.
    static constexpr milliseconds store_outage_threshold{300};

    /// A member without a request for this long is left out of the list; several requests may be lost.
    static constexpr milliseconds list_retention{1200};

    /// Begins anew for another leadership. `members` are listed even before their first request.
    void begin(const std::vector<inner::member> &members, time_point now);

    /// Records a request that will be answered. `answer_sent_at`: when the leader sent the last answer that
    /// the process had received; none: the process had received none.
    void record_request(const inner::member &from, milliseconds store_unanswered_for,
                        std::optional<time_point> answer_sent_at, time_point now);

    /// Records the processes that the process at `relay` answers on the leader's behalf. They are listed
    /// while the relay's own requests arrive; their agreement is not needed, since the leader does not answer
    /// them.
    void record_followers(const std::string &relay, std::uint64_t version,
                          std::vector<inner::member> followers);

    /// Returns the version of the followers recorded for the relay, or 0.
    [[nodiscard]] std::uint64_t followers_version(const std::string &relay) const;

    /// Returns true if the process at the address was answered during this leadership.
    [[nodiscard]] bool was_answered(const std::string &address) const;

    /// Removes the process at the address, which is shutting down and will not become leader.
    void remove_member(const std::string &address);

    /// Returns the processes that sent a request recently, to the leader or to a relay, in order of their
    /// addresses; `version` rises with each change of the list.
    const std::vector<inner::member> &list(time_point now, std::uint64_t &version);

    /// Returns true if every process that was answered agrees, and there is at least one or there are no
    /// members at all. The agreement of a process that was never answered is not needed: it waits for
    /// `leadership_validity::autonomy_limit` if it becomes leader.
    [[nodiscard]] bool all_agree(time_point now) const;

    /// Returns each member's last report and its age as text for the log.
    [[nodiscard]] std::string summary(time_point now) const;

private:
    struct known_member
    {
        inner::member member;
        time_point last_received_at;
        bool answered = false; ///< during this leadership
        std::optional<time_point> answer_sent_at;
        milliseconds store_unanswered_for{0};
        std::uint64_t followers_version = 0;
        std::vector<inner::member> followers; ///< if it is a relay
    };

    std::map<std::string, known_member> members_; ///< by address
    std::vector<inner::member> list_;
    std::uint64_t version_ = 0;
};

} // namespace baobabport::failover
