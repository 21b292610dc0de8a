// State of one group of instances in this process: connection pools, the primary, and confirmations of it.

#pragma once

#include "directory/instance_record.h"
#include "failover/lease_grantor.h"
#include "failover/switchover.h"
#include "inner/lease_messages.h"
#include "proxy/instance_pool.h"
#include "proxy/local_executor.h"
#include "replication/group_state.h"
#include "routing/instance_score.h"
#include "routing/outlier_detector.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

struct event_base;

namespace baobabport::proxy {

using consistency::position;
using std::chrono::milliseconds;

/// Condition that must hold before an answer of the primary is returned to its caller.
struct confirmation_request
{
    time_point since;       ///< a status request sent at this time or later must confirm the primary
    std::uint64_t term = 0; ///< of the primary that answered
    time_point deadline;
};

enum class confirmation_result : std::uint8_t
{
    confirmed,
    superseded, ///< the group has a primary of a later term
    expired,
};

/// Requirements of a read on the instance that serves it.
struct read_requirements
{
    std::optional<position> floor;
    std::set<std::string> excluded; ///< instances that were tried already
};

/// Identity that this process uses on its connections.
struct group_identity
{
    std::string service;
    std::string caller;
    std::string data_centre;
    std::shared_ptr<limits::memory_account> memory = nullptr; ///< charged with answers; null: they are not
};

/**
 * Owns the connection pools to a group's instances, keeps track of the group's primary, and selects instances
 * for statements.
 */
class group_task
{
public:
    /// An instance that failed is excluded from reads for this long; a few detection intervals. Further
    /// failures are the outlier detector's concern.
    static constexpr std::chrono::milliseconds exclusion_period{500};
    /// An instance whose log was behind the floor is tried again after this time: it may have caught up.
    static constexpr std::chrono::milliseconds behind_retry_delay{250};
    /// An instance that answers again after this time without an answer is cold.
    static constexpr std::chrono::milliseconds silence_before_cold{1000};
    /// Time-out of a status request.
    static constexpr std::chrono::milliseconds probe_timeout{500};
    /// This process searches for the primary itself only if no lease was received for this long.
    static constexpr std::chrono::milliseconds leader_update_lifetime{600};
    /// Interval of status requests to all instances while the primary is unknown or contested.
    static constexpr std::chrono::milliseconds search_interval{60};
    /// Maximum age of the log position that the leader reports to others; the report itself takes as long
    /// again to reach all of them.
    static constexpr std::chrono::milliseconds max_reported_age{250};
    /// Minimum interval between requests for confirmations, so that many answers share one request.
    static constexpr std::chrono::milliseconds confirm_interval{10};
    /// The floor is refreshed for this long after the last read that needed one.
    static constexpr std::chrono::milliseconds floor_refresh_period{2000};

    group_task(event_base *base, const statement_executor &executor, group_identity identity);

    /// Sets the instances of the group, and the limit of connections to each of them for this process.
    void set_members(const std::vector<directory::instance_record> &records, std::uint32_t limit);

    /// Discards the state and connections of an instance after another process has started under its id.
    void member_restarted(const std::string &id);

    void tick(time_point now);

    /// Returns the pool of the primary, or null if none is known or it must not get new statements.
    [[nodiscard]] std::shared_ptr<instance_pool> primary_pool() const;
    [[nodiscard]] std::shared_ptr<instance_pool> pool_of(const std::string &id) const;

    /// Returns the instance's pool if it may get new statements, or null.
    [[nodiscard]] std::shared_ptr<instance_pool> pool_for_statements(const std::string &id,
                                                                     time_point now) const;

    /// Returns the pool of the instance with the lowest score for the read, or null if there is none.
    [[nodiscard]] std::shared_ptr<instance_pool> choose_for_read(const read_requirements &requirements,
                                                                 time_point now) const;

    /// Calls the hook with true once the condition holds, or with false at `deadline`.
    void wait_until(std::function<bool()> condition, time_point deadline, std::function<void(bool)> done);

    /// Records that reads need a floor that is at most `max_age` old. It is refreshed before that.
    void request_floor(milliseconds max_age, time_point now);

    /// Records that other processes rely on the log position that this one, the leader, reports.
    void request_reported_position(time_point now)
    {
        position_reported_at_ = now;
        request_floor(max_reported_age, now);
    }

    /// Calls the hook once the primary is confirmed or superseded, or at the request's deadline.
    void confirm(const confirmation_request &request, std::function<void(confirmation_result)> done);

    /// Adopts the lease's primary; if the lease is granted, the primary is not replaced before it ends.
    void handle_lease(const inner::primary_lease &lease, time_point requested_at);

    /// Returns the lease that this process may send to its peers, or none if the primary is not certain.
    [[nodiscard]] std::optional<inner::primary_lease> lease_for_peers(time_point now) const;

    /// Ends the lease of this process; called before this process replaces the primary.
    void discard_lease() { lease_until_ = {}; }

    /// Records the log position of an answer to a caller's statement that was sent at `sent_at`.
    void record_answer(const std::string &id, const session::prompt &end, time_point sent_at);

    /// Count the statements of this process's sessions that are in flight to an instance.
    void record_sent(const std::string &id, time_point sent_at);
    void record_returned(const std::string &id, time_point sent_at);
    /// Records how long a read of the label took until its answer arrived here.
    void record_duration(const std::string &id, const std::string &label, time_point sent_at, time_point now);
    [[nodiscard]] std::string data_centre_of(const std::string &id) const;

    /// Records whether an answer of the instance to a caller's statement, or the lack of one, speaks for it.
    void judge(const std::string &id, bool good, time_point now);
    /// Returns true while the instance gets no reads, since it serves worse than the others.
    [[nodiscard]] bool is_ejected(const std::string &id, time_point now) const
    {
        return outliers_.is_ejected(id, now);
    }

    /// Returns the time since the last answer of the instance to any request.
    [[nodiscard]] std::chrono::milliseconds time_since_answer(const std::string &id, time_point now) const;

    /// Records that the instance refused to act as primary.
    void reject_primary(const std::string &id);
    void exclude_temporarily(const std::string &id, time_point now);

    using report_hook = std::function<void(const std::optional<replication::member_report> &)>;

    /**
     * Sends a command of the proxy on a connection of this process; the answer is a report.
     *
     * `still_valid` is called as soon as a connection is available, immediately before the command is sent;
     * if it returns false, the command is not sent.
     */
    void command(const std::string &id, const std::string &text, report_hook done,
                 std::function<bool()> still_valid = nullptr);

    /// Requests a report of the instance: directly, or through its home process. Only a direct request shows
    /// whether this process reaches the instance; each of the two is sent once at a time.
    void probe(const std::string &id, bool directly = false);

    /// Returns true while statements wait for a primary or for its log position.
    [[nodiscard]] bool waits_for_primary() const { return !conditions_.empty(); }

    [[nodiscard]] failover::group_snapshot snapshot(time_point now) const;
    [[nodiscard]] const replication::group_state &state() const { return state_; }
    [[nodiscard]] const group_identity &identity() const { return identity_; }
    [[nodiscard]] std::size_t waiting_confirmations() const { return confirmations_.size(); }

private:
    struct status_request
    {
        time_point sent_at;
        bool in_flight = false;
    };
    struct member
    {
        directory::instance_record record;
        std::shared_ptr<instance_pool> pool;
        std::optional<time_point> unanswered_since;
        time_point answered_at;
        time_point excluded_until;
        status_request through_home;
        status_request direct;
        std::multiset<time_point> sent; ///< when the statements in flight were sent
        bool refuses = false;           ///< nothing listens at its address, or another instance does
        bool failing = false;           ///< a failure since its last answer was logged
    };
    struct waiting_confirmation
    {
        confirmation_request request;
        std::function<void(confirmation_result)> done;
    };
    struct condition_waiter
    {
        std::function<bool()> condition;
        time_point deadline;
        std::function<void(bool)> done;
    };

    std::shared_ptr<instance_pool> make_pool(const directory::instance_record &record, std::uint32_t limit);
    void begin_cold(const std::string &id, instance_pool &pool, const char *reason);
    void reevaluate(time_point now);
    [[nodiscard]] bool has_lease(time_point now) const;
    void reevaluate_confirmations(time_point now);
    void reevaluate_conditions(time_point now);
    void query_replicas(time_point now);
    void search_primary(time_point now);
    void refresh_floor(time_point now);
    void handle_report(const std::string &id, const replication::member_report &report,
                       time_point requested_at);
    void probe_replicas(time_point now);
    void probe_through_home(const std::string &id, const report_hook &done);

    event_base *base_;
    const statement_executor &executor_;
    group_identity identity_;
    replication::group_state state_;
    routing::outlier_detector outliers_;
    routing::instance_score score_;
    std::map<std::string, member> members_;
    bool listed_ = false; ///< a listing with instances was received: those that follow have joined
    std::list<waiting_confirmation> confirmations_;
    std::list<condition_waiter> conditions_;
    time_point floor_requested_at_;
    time_point position_reported_at_;  ///< when this process last reported the position to others
    milliseconds floor_age_{0};        ///< the lowest age requested within `floor_refresh_period`
    time_point last_leader_update_at_; ///< when a lease that names the primary was last received
    time_point lease_until_;
    std::uint64_t lease_term_ = 0;
    time_point searched_at_;
    time_point confirmations_requested_at_;
    std::shared_ptr<group_task *>
        self_; ///< callbacks hold a weak reference, since they may outlive this object
};

} // namespace baobabport::proxy
