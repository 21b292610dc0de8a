// Passes the leader's answers on to processes of the same data centre.

#pragma once

#include "failover/member_log.h"
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
 * Keeps the leader's last answer to this process and gives it, with its age, to processes that ask.
 *
 * A lease that is passed on ends no later than this process's own: the receiver counts it from its own
 * request, less the age. Only the leader's own answers are passed on, never relayed ones.
 */
class lease_relay
{
public:
    /// An answer is passed on as the leader's present word for this long.
    static constexpr milliseconds answer_lifetime{450};
    /// For this long after the leader's last answer, this process still answers, without leases: it searches
    /// for the next leader itself, and those who ask need not.
    static constexpr milliseconds search_time{2500};
    /// A process without a request for this long is no longer reported; several requests may be lost.
    static constexpr milliseconds follower_retention{1200};

    /// Records an answer that the leader itself gave to a request sent at `requested_at`.
    void record_answer(const inner::lease_answer &answer, const inner::member &leader,
                       time_point requested_at);

    /// Stops passing answers on: the leader has named other relays.
    void clear() { last_.reset(); }

    /// Answers the request of the process at `from`; none: it has to ask somebody else. `members`: this
    /// process's copy of the leader's list. The answer says nothing of the directory: the caller adds what
    /// this process has of it.
    std::optional<inner::lease_answer> answer(const inner::lease_request &request, const std::string &from,
                                              const member_log &members, time_point now);

    /// Adds to a request to the leader what this process reports as a relay.
    void fill_request(inner::lease_request &request, time_point now);

    /// Returns true if this process, as a relay, has to report a change of its followers.
    [[nodiscard]] bool report_pending() const { return last_ && reported_version_ != version_at_leader_; }

private:
    struct follower
    {
        inner::member process;
        time_point asked_at;
    };

    void update_followers(time_point now);

    std::optional<inner::lease_answer> last_;
    inner::member leader_;
    time_point last_requested_at_;
    std::map<std::string, follower> followers_; ///< by address
    std::vector<inner::member> reported_;       ///< the list of version `reported_version_`
    std::uint64_t reported_version_ = 0;        ///< rises with each change of the list
    std::uint64_t version_at_leader_ = 0;       ///< that the leader has confirmed
};

} // namespace baobabport::failover
