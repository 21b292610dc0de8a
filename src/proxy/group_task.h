// One group of instances as this process sees it: connections, the primary, and confirmations.

#pragma once

#include "directory/instance_record.h"
#include "failover/lease_grantor.h"
#include "failover/switchover.h"
#include "inner/lease_messages.h"
#include "proxy/instance_pool.h"
#include "proxy/local_executor.h"
#include "replication/group_state.h"

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

/// What an answer of the primary waits for before it goes to its caller.
struct confirmation_request
{
    time_point since;       ///< a question asked at this time or later must confirm the primary
    std::uint64_t term = 0; ///< of the primary that answered
    time_point deadline;
};

enum class confirmation_result : std::uint8_t
{
    confirmed,
    superseded, ///< another primary leads a later term
    expired,
};

/// What a read asks of an instance.
struct read_requirements
{
    std::optional<position> floor;
    std::set<std::string> excluded; ///< instances that were tried
};

/// Who this process is, for its connections.
struct group_identity
{
    std::string service;
    std::string caller;
    std::string data_centre;
};

/**
 * Owns the pools to a group's instances.
 */
class group_task
{
public:
    /// An instance that fails is avoided for reads this long; a few detection intervals.
    static constexpr std::chrono::milliseconds exclusion_period{500};
    /// A log that was seen behind is tried again after this time: it may have caught up.
    static constexpr std::chrono::milliseconds behind_retry_delay{250};
    /// Confirmations are asked of a second replica when the first has not answered by then.
    static constexpr std::chrono::milliseconds second_replica_delay{40};
    /// A question for a report is given up after this time.
    static constexpr std::chrono::milliseconds probe_timeout{500};
    /// What the duty's holder said is searched for only when nothing was heard for this long.
    static constexpr std::chrono::milliseconds leader_update_lifetime{600};
    /// Reports are asked for this often while the primary is unknown or contested.
    static constexpr std::chrono::milliseconds search_interval{60};
    /// While reads need a floor, it is at most this old; half of the shortest staleness in use.
    static constexpr std::chrono::milliseconds max_floor_age{500};
    /// Confirmations are asked for at this interval at most, so that many answers share one question.
    static constexpr std::chrono::milliseconds confirm_interval{10};
    /// Floors are kept fresh this long after the last read that needed one.
    static constexpr std::chrono::milliseconds floor_refresh_period{2000};

    group_task(event_base *base, const statement_executor &executor, group_identity identity);

    /// Takes in the instances of the group and the connections each allows this process.
    void set_members(const std::vector<directory::instance_record> &records, std::uint32_t limit);

    /// Takes in that another process runs under the id.
    void member_restarted(const std::string &id);

    void tick(time_point now);

    /// Returns the pool of the trusted primary, or null.
    [[nodiscard]] std::shared_ptr<instance_pool> primary_pool() const;
    [[nodiscard]] std::shared_ptr<instance_pool> pool_of(const std::string &id) const;

    /// Returns the instance's pool if it may get new statements, or null.
    [[nodiscard]] std::shared_ptr<instance_pool> pool_for_statements(const std::string &id,
                                                                     time_point now) const;

    /// Returns the pool that suits the read best, or null.
    [[nodiscard]] std::shared_ptr<instance_pool> choose_for_read(const read_requirements &requirements,
                                                                 time_point now) const;

    /// Calls the hook with true once the condition holds, or with false at `deadline`.
    void wait_until(std::function<bool()> condition, time_point deadline, std::function<void(bool)> done);

    /// Notes that reads need a recent floor.
    void request_floor(time_point now) { floor_requested_at_ = now; }

    void confirm(const confirmation_request &request, std::function<void(confirmation_result)> done);

    /// Takes in that no primary of the group is replaced before the lease ends.
    void handle_lease(const inner::primary_lease &lease, time_point requested_at);

    /// Returns the lease that others may have from this process, or none if no primary is trusted.
    [[nodiscard]] std::optional<inner::primary_lease> lease_for_peers(time_point now) const;

    /// Ends this process's own lease, before it replaces the primary itself.
    void end_lease() { lease_until_ = {}; }

    /// Takes in the log position and time of an answer to a caller's statement.
    void record_answer(const std::string &id, const session::prompt &end, time_point sent_at);

    /// Counts statements of this process's sessions that are under way to an instance.
    void record_sent(const std::string &id);
    void record_returned(const std::string &id);
    [[nodiscard]] std::string data_centre_of(const std::string &id) const;

    /// Returns how long ago the instance last answered anything.
    [[nodiscard]] std::chrono::milliseconds time_since_answer(const std::string &id, time_point now) const;

    /// Takes in that the instance refused to act as primary.
    void reject_primary(const std::string &id);
    void exclude_temporarily(const std::string &id, time_point now);

    using report_hook = std::function<void(const std::optional<replication::member_report> &)>;

    /**
     * Sends a command of the proxy's own on a connection of this process; its answer is a report.
     *
     * `still_valid` is asked when there is a connection, immediately before the command is sent.
     */
    void command(const std::string &id, const std::string &text, report_hook done,
                 std::function<bool()> still_valid = nullptr);

    /// Asks the instance for a report: directly, or through the process that holds its connections.
    void probe(const std::string &id, bool directly = false);

    /// Returns true while statements wait to learn the primary or its log position.
    [[nodiscard]] bool waits_for_primary() const { return !conditions_.empty(); }

    [[nodiscard]] failover::group_snapshot snapshot(time_point now) const;
    [[nodiscard]] const replication::group_state &state() const { return state_; }
    [[nodiscard]] const group_identity &identity() const { return identity_; }
    [[nodiscard]] std::size_t waiting_confirmations() const { return confirmations_.size(); }

private:
    struct member
    {
        directory::instance_record record;
        std::shared_ptr<instance_pool> pool;
        std::optional<time_point> unanswered_since;
        time_point answered_at;
        time_point excluded_until;
        time_point probe_sent;
        std::uint32_t in_flight = 0;
        bool probing = false;
        bool refuses = false; ///< nothing listens at its address
        bool failing = false; ///< since its last answer; reported once
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
    void reevaluate(time_point now);
    [[nodiscard]] bool has_lease(time_point now) const;
    void reevaluate_confirmations(time_point now);
    void reevaluate_conditions(time_point now);
    void query_replicas(time_point now);
    void search_primary(time_point now);
    void refresh_floor(time_point now);
    void handle_report(const std::string &id, const replication::member_report &report,
                       time_point requested_at);
    std::vector<std::string> replicas_by_preference(time_point now) const;

    void probe_through_home(const std::string &id, const report_hook &done);

    event_base *base_;
    const statement_executor &executor_;
    group_identity identity_;
    replication::group_state state_;
    std::map<std::string, member> members_;
    std::list<waiting_confirmation> confirmations_;
    std::list<condition_waiter> conditions_;
    time_point floor_requested_at_;
    time_point last_leader_update_at_; ///< when the duty's holder last told who leads
    time_point lease_until_;
    std::uint64_t lease_term_ = 0;
    time_point searched_at_;
    time_point confirmations_requested_at_;
    std::shared_ptr<group_task *> self_; ///< callbacks hold it weakly: they may outlive the group
};

} // namespace baobabport::proxy
