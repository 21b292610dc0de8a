// The home of one database: accepts its requests, schedules its slots, and enforces the guarantees.

#pragma once

#include "admission/duration_estimator.h"
#include "admission/read_sharing.h"
#include "admission/request_deduplicator.h"
#include "admission/request_queue.h"
#include "admission/retry_budget.h"
#include "consistency/held_answers.h"
#include "consistency/read_router.h"
#include "document/service_document.h"
#include "home/connection_pool.h"
#include "home/group_monitor.h"
#include "home/transaction_table.h"
#include "home/upstream.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace baobabport::home {

/// An instance that answered within this time is assumed to be reachable.
inline constexpr std::chrono::milliseconds recent_answer_window{1000};

/// How a home schedules and routes requests; `plain` is the baseline for measurements.
enum class policy_kind : std::uint8_t
{
    session,
    plain
};

/// The settings of a home and its database group.
struct home_settings
{
    std::string database;
    std::vector<std::string> instances;  ///< names, in `instance_id` order
    std::uint32_t slots = 2;             ///< of each instance
    std::uint32_t connection_limit = 16; ///< of each instance, shared by all its clients
    std::uint32_t vm_number = 0;
    std::uint64_t seed = 1;
    policy_kind policy = policy_kind::session;
    std::uint32_t plain_share_divisor = 1; ///< plain: this home uses 1/n of the connections and slots
};

/// Injected defects, enabled by tests to prove that the checks detect them.
struct home_defects
{
    bool acknowledge_without_majority = false; ///< sends the answer before a majority has the write
    bool resend_unrepeatable_writes = false;   ///< retries a write that is not repeatable
    bool reuse_after_late_answer = false;      ///< keeps a connection after a late answer
    bool ignore_floor = false;                 ///< lets any instance serve any read
    bool deliver_stale_reads = false;          ///< does not check the log position of a read's answer
    bool report_lost_as_not_run = false;       ///< answers a lost write as not run
    bool share_pinned_connections = false;     ///< sends other requests on a transaction's connection
    bool omit_request_ids = false;             ///< sends a write without its id, without deduplication
    bool skip_read_confirmation = false;       ///< linearizable reads without majority confirmation
    bool acknowledge_lost_writes = false;      ///< after a promotion, also writes the new log lacks
};

/// Counters for the state dump and the metrics.
struct home_counters
{
    std::uint64_t reads_by_replica = 0;
    std::uint64_t reads_by_primary = 0;
    std::uint64_t reads_shared = 0;
    std::uint64_t retries = 0;
    std::uint64_t promotions = 0;
    std::array<std::uint64_t, 3> verdicts{};       ///< by `consistency::verdict`
    std::map<std::string, std::uint64_t> refusals; ///< by reason
};

/**
 * The state machine of one database. Events are passed in with the current time; actions are calls of hooks.
 *
 * It reads no clock and owns no socket, so the pooler's task and the tests drive it in the same way.
 *
 * Invariants:
 * - each request gets exactly one answer;
 * - a write that is not repeatable is sent upstream at most once, apart from attempts that an instance has
 *   refused;
 * - no answer shows a position that a majority of the group does not hold, unless the class allows it.
 */
class database_home
{
public:
    database_home(home_settings settings, home_hooks hooks,
                  std::shared_ptr<const document::service_document> document, time_point now);

    /// Accepts a request; it is answered through the hook, possibly before this call returns.
    void submit(request_key key, const inner::statement_request &request, time_point now);

    void connection_opened(connection_id id, time_point now);
    void connection_failed(connection_id id, bool refused, time_point now);

    /// Removes a connection that ended; a call in flight on it is lost.
    void connection_lost(connection_id id, time_point now);

    void handle_answer(connection_id connection, const upstream_result &result, time_point now);
    void handle_answer(const command_result &result, time_point now);
    void handle_answer(const inner::view_answer &answer, time_point now);

    /// Handles everything that is due. Called every few milliseconds while requests are in progress.
    void tick(time_point now);

    /// Returns this pooler's view of the primary, for another pooler's request.
    [[nodiscard]] inner::view_answer view_for(const inner::view_request &request, time_point now) const;

    void set_document(std::shared_ptr<const document::service_document> document);
    void set_shed(std::vector<std::string> classes) { shed_ = std::move(classes); }
    void set_leaving(instance_id instance, bool leaving) { monitor_.set_leaving(instance, leaving); }

    /// Refuses new requests from now on; those in progress still complete.
    void drain() { draining_ = true; }

    /**
     * Returns true if no request and no transaction is in progress.
     */
    [[nodiscard]] bool is_idle() const { return requests_.empty() && transactions_.size() == 0; }

    /**
     * Returns true if the home is idle and received no request for `duration`.
     */
    [[nodiscard]] bool is_idle_for(time_point now, std::chrono::milliseconds duration) const
    {
        return is_idle() && now - last_request_ >= duration;
    }

    [[nodiscard]] const home_counters &counters() const { return counters_; }
    [[nodiscard]] const group_monitor &monitor() const { return monitor_; }
    [[nodiscard]] const connection_pool &connections() const { return pool_; }
    [[nodiscard]] const admission::request_queue &queue() const { return queue_; }
    [[nodiscard]] const document::service_document &document() const { return *document_; }
    [[nodiscard]] const home_settings &settings() const { return settings_; }
    [[nodiscard]] std::size_t held() const { return held_.size(); }
    [[nodiscard]] std::size_t open_transactions() const { return transactions_.size(); }
    [[nodiscard]] consistency::position acknowledged_floor() const { return acknowledged_; }
    [[nodiscard]] time_point last_request() const { return last_request_; }

    void set_defects(const home_defects &home, const failover::failover_defects &failover);

private:
    enum class phase_kind : std::uint8_t
    {
        queued,
        awaiting_first_request, ///< waits for the first request of the same id
        awaiting_shared_read,   ///< waits for an identical read
        running,
        held,
    };

    struct request_state
    {
        inner::statement_request request;
        document::class_policy policy;
        time_point arrived;
        time_point deadline;
        phase_kind phase = phase_kind::queued;
        std::uint32_t tries = 0; ///< times sent upstream, without the `refused` ones
        consistency::position floor;
        bool linearizable = false;
        time_point confirmation_since;
        time_point sent_at;
        connection_id connection = 0;
        call_id call = 0;
        time_point as_of;               ///< reads: the answer contains all data up to this time
        std::string deduplication_id;   ///< set on the first request with an id
        std::string sharing_key;        ///< set on a read that is shared or waits for a shared one
        inner::statement_answer answer; ///< while held
    };

    struct deadline_entry
    {
        time_point at;
        request_key key = 0;
        auto operator<=>(const deadline_entry &) const = default;
    };

    // database_home.cpp: admission and answers of requests
    void admit(request_key key, request_state &state, time_point now);
    void record_pause(time_point now);
    [[nodiscard]] std::string refusal(const request_state &state, time_point now) const;
    void set_freshness(request_state &state, time_point now) const;
    [[nodiscard]] bool join_first_request(request_key key, request_state &state, time_point now);
    [[nodiscard]] bool join_shared_read(request_key key, request_state &state, time_point now);
    void enqueue(request_key key, request_state &state, time_point now, bool at_head);
    void finish(request_key key, inner::statement_answer answer, time_point now);
    void finish_as(request_key key, consistency::verdict outcome, const std::string &reason, time_point now,
                   std::chrono::milliseconds retry_after = std::chrono::milliseconds(0));
    void record_outcome(const inner::statement_answer &answer);
    void end_sharing(request_key key, const request_state &state, const inner::statement_answer &answer,
                     time_point now);
    void expire(time_point now);
    void expire_one(request_key key, time_point now);
    [[nodiscard]] bool is_shed(const std::string &class_name) const;
    [[nodiscard]] std::chrono::microseconds expected_wait(document::priority_kind priority) const;
    [[nodiscard]] std::chrono::milliseconds replication_lag(time_point now) const;

    // database_home_dispatch.cpp: sending queued requests to the instances
    void dispatch(time_point now);
    [[nodiscard]] std::optional<connection_id> choose_connection(const request_state &state,
                                                                 time_point now) const;
    [[nodiscard]] std::optional<connection_id> choose_for_write(time_point now) const;
    [[nodiscard]] std::optional<connection_id> choose_for_read(const request_state &state,
                                                               time_point now) const;
    [[nodiscard]] std::optional<connection_id> choose_plain(const request_state &state) const;
    [[nodiscard]] consistency::instance_capacity capacity_of(instance_id instance) const;
    [[nodiscard]] std::uint32_t slots_of_class(const std::string &class_name) const;
    void send(request_key key, request_state &state, connection_id connection, time_point now);
    void open_connections(time_point now);
    void close(connection_id id, time_point now);

    // database_home_results.cpp: answers of the instances
    void handle_ran(request_key key, request_state &state, instance_id instance,
                    const upstream_result &result, time_point now);
    void handle_refused(request_key key, request_state &state, instance_id instance,
                        const upstream_result &result, time_point now);
    void handle_lost(request_key key, time_point now);
    void retry(request_key key, request_state &state, time_point now);
    void fail_orphaned_requests(time_point now);
    void close_failed(time_point now);
    void handle_transaction_step(request_key key, request_state &state, instance_id instance,
                                 const upstream_result &result, time_point now);
    void hold_or_finish(request_key key, request_state &state, time_point now);
    void release_held(time_point now);
    void handle_promotion(const failover::failover_step::promotion &promoted, time_point now);
    void release(const std::vector<consistency::held_answers::release> &released, time_point now);
    [[nodiscard]] bool may_retry(const request_state &state, time_point now);
    [[nodiscard]] bool writes_in_progress() const;

    home_settings settings_;
    home_hooks hooks_;
    std::shared_ptr<const document::service_document> document_;
    home_defects defects_;
    group_monitor monitor_;
    connection_pool pool_;
    admission::request_queue queue_;
    admission::duration_estimator durations_;
    admission::retry_budget retries_;
    admission::request_deduplicator deduplicator_;
    admission::read_sharing sharing_;
    consistency::held_answers held_;
    transaction_table transactions_;
    std::map<request_key, request_state> requests_;
    std::set<deadline_entry> deadlines_; ///< one element per element of `requests_`
    std::map<std::string, std::uint32_t> running_by_class_;
    consistency::position acknowledged_; ///< never decreases; all acknowledged writes are at or below it
    bool draining_ = false;
    bool dispatching_ = false;
    std::map<call_id, request_key> calls_; ///< in flight, with a waiting request
    call_id next_call_ = 1;
    std::uint64_t next_transaction_ = 1;
    mutable std::uint32_t plain_next_instance_ = 0;
    time_point last_request_;
    time_point last_expiry_;
    time_point last_tick_;
    std::chrono::milliseconds pause_{0}; ///< duration of the last suspension of this process
    time_point pause_applies_until_;     ///< requests that arrive until then may have waited during it
    std::vector<std::string> shed_;
    home_counters counters_;
};

} // namespace baobabport::home
