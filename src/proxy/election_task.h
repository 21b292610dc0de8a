// Leader election among the proxy processes: only the leader replaces primaries. Each leadership has a higher
// generation than the one before.

#pragma once

#include "failover/leader_contacts.h"
#include "failover/leadership_record.h"
#include "failover/leadership_takeover.h"
#include "failover/leadership_validity.h"
#include "inner/timer.h"
#include "platform/metadata_client.h"
#include "proxy/lease_task.h"
#include "proxy/proxy_settings.h"
#include "proxy/store_tasks.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

struct event_base;

namespace baobabport::proxy {

using failover::leadership_basis;

/**
 * Acquires and keeps the leadership by a leader key under a store lease. The generation is stored in a
 * record without a lease, so that it outlives all processes.
 */
class election_task
{
public:
    /// The leader key expires this long after the leader's last renewal; several renewals may fail before
    /// that.
    static constexpr std::chrono::milliseconds lease_time{1800};
    static constexpr std::chrono::milliseconds renew_interval{300};
    /// Followers detect the end of the store lease by a watch of this length.
    static constexpr std::chrono::milliseconds watch_time{4000};
    /// The leader detects by a watch of this length that its key was removed while its lease still exists.
    static constexpr std::chrono::milliseconds leader_watch_time{3000};
    /// While the leader's last answer is younger than this, followers do not read the leadership from the
    /// store. Long enough that one answer may be lost.
    static constexpr std::chrono::milliseconds leader_answer_lifetime{450};
    /// When there is no leader, each process waits for a different part of this time before it tries to
    /// become one, so that most find the leader key already present.
    static constexpr std::chrono::milliseconds election_jitter{60};
    /// The same before the first leader of all, when every process of the fleet starts at once.
    static constexpr std::chrono::milliseconds first_election_jitter{400};
    /// A process that a relay has answered waits this much longer: the relays, which the earlier leader has
    /// answered, can act as the next leader at once.
    static constexpr std::chrono::milliseconds relayed_election_delay{400};
    /// A leader whose calls to the store have had no answer for this long asks its followers to check whether
    /// the store answers them; many times the store's usual response time.
    static constexpr std::chrono::milliseconds store_unresponsive_threshold{150};
    /// Interval of the store calls that a process makes at the leader's request; below
    /// `metadata_client::max_attempt_age`.
    static constexpr std::chrono::milliseconds store_check_interval{1000};

    /// Time-out of a promotion order.
    static constexpr std::chrono::milliseconds order_timeout{1500};
    static_assert(order_timeout < failover::leadership_takeover::order_separation);

    election_task(event_base *base, platform::metadata_client &store, const proxy_settings &settings);

    void start() { read_leadership(); }

    /// Reads the store again once the leader has become unresponsive; as the leader, keeps the leadership
    /// record up to date.
    void tick(time_point now);

    /// Records a leader's answer to a request that was sent at `requested_at`.
    void handle_leader_answer(const inner::lease_answer &answer, time_point requested_at);

    /// Records a relayed answer of the leader to a request sent at `requested_at`. Returns false if the
    /// answer is of an earlier leader than the one that this process follows. It is no contact with the
    /// leader.
    bool handle_relayed_answer(const inner::lease_answer &answer, time_point requested_at);

    /// Returns true if the leader must answer the process itself: only what it reports of an earlier leader
    /// lets this one begin.
    [[nodiscard]] bool needs_report_of(const inner::lease_request &request) const
    {
        return takeover_.needs_witness() && !request.earlier.empty();
    }

    /// Fills the fields of a request to the leader that concern the leadership.
    void fill_request(inner::lease_request &request, time_point now);

    /// Records a follower's request to this process as the leader.
    void handle_follower_request(const inner::lease_request &request, const support::address &from,
                                 time_point now);

    /// Ends the leadership, and reads the keys again: the store has come back from an older copy, in which
    /// leases, the leader key and the last generations may be missing.
    void handle_new_era();

    /// Releases the leadership for good, so that another process can become leader at once.
    void resign();

    /// Returns the generation while this process may act as the leader, or none.
    [[nodiscard]] std::optional<std::uint64_t> acting_generation(time_point now) const;

    /// Returns the basis on which this process acts as the leader.
    [[nodiscard]] leadership_basis basis(time_point now) const;

    /// Returns the generation if this process became leader and has not found that it lost the leadership,
    /// or none. It may be unable to act as the leader nevertheless; see `acting_generation`.
    [[nodiscard]] std::optional<std::uint64_t> assumed_generation() const;

    /// Returns the generation while this process acts as the leader and no lease or order of an earlier
    /// leader can be in force.
    [[nodiscard]] std::optional<std::uint64_t> exclusive_generation(time_point now) const;

    /// Returns true if a replacement of a primary may begin.
    [[nodiscard]] bool may_replace(time_point now) const;

    /// Records that a promotion is about to be ordered, or that an ordered one may still take effect.
    void record_order(time_point now);

    /// Returns the generation if a promotion may be ordered at this moment, or none. The leadership record in
    /// the store must already name this process in `ordered_by`, unless the store is unavailable to all
    /// processes.
    [[nodiscard]] std::optional<std::uint64_t> promotion_generation(time_point now) const;

    /// Sets the number of processes that this leader lists; recorded once it differs much from the record.
    void set_fleet_size(std::size_t processes);

    /// Returns the number of processes as last recorded by a leader; 0: not known.
    [[nodiscard]] std::uint32_t recorded_fleet_size() const { return record_.fleet_size; }

    /// Sets the function that returns whether all processes that this leader has answered agree that it
    /// continues without the store.
    void set_agreement_check(std::function<bool(time_point)> check) { peers_agree_ = std::move(check); }

    /// Returns true if this process is the leader and the store does not answer it; the store may still
    /// answer others.
    [[nodiscard]] bool store_unresponsive(time_point now) const;

    /// Returns the time since the last request that the store answered by confirming the leadership, or 0
    /// without one.
    [[nodiscard]] std::chrono::milliseconds unconfirmed_for(time_point now) const;

    /// Returns the leader, if it is another process.
    [[nodiscard]] std::optional<leader_endpoint> remote_leader() const;
    [[nodiscard]] const std::string &vm() const { return vm_; }

    /// Returns the key that all processes share, or an empty text until it has been read from the store.
    [[nodiscard]] std::string peer_key() const { return record_revision_ == 0 ? "" : record_.peer_key; }

private:
    void read_leadership();
    void update_role(std::optional<time_point> requested_at);
    void watch();
    void schedule_election();
    void open_lease();
    void acquire_leader_key();
    void become_leader(const failover::leadership_record &before, time_point confirmed_at);
    void renew();
    void verify_leadership();
    void update_record(time_point now);
    void lose_leadership(const char *reason);
    void release_leadership();
    void schedule_retry(std::chrono::milliseconds delay);
    void read_leader_key(const platform::stored_item &item);
    void read_keys(const platform::store_reply &reply);
    void check_store(time_point now);
    [[nodiscard]] failover::leadership_record desired_record(time_point now) const;
    [[nodiscard]] failover::record_age age_of(const failover::leadership_record &before) const;
    [[nodiscard]] std::string self() const { return vm_ + '@' + peer_.text(); }
    /// Returns true while the leader's answers, or the first one of a new leader, are recent enough to do
    /// without the store.
    bool awaits_leader(time_point now);
    [[nodiscard]] bool relay_searches(time_point now) const
    {
        return now - relay_searched_at_ < leader_answer_lifetime;
    }

    platform::metadata_client &store_;
    std::string vm_;
    std::string data_centre_;
    support::address peer_;
    std::chrono::milliseconds store_lease_time_; ///< `lease_time`, or the shortest that the store grants
    inner::timer timer_;
    inner::timer renew_timer_;
    inner::timer election_timer_;
    store_backoff backoff_;
    platform::store_position position_; ///< of the keys as last read; its era is that of all revisions here
    std::uint64_t leader_revision_ = 0; ///< 0: there is no leader
    /// Revision of a leader key that the next leader replaces, 0: none. Either it has no store lease, so that
    /// no leader wrote it and it would stay for good, or this process's predecessor wrote it.
    std::uint64_t replaceable_key_revision_ = 0;
    std::uint64_t record_revision_ = 0;  ///< 0: the store has no record yet
    failover::leadership_record record_; ///< as in the store; its generation never decreases
    std::string leader_;
    support::address leader_peer_;
    std::string leader_data_centre_;
    std::uint64_t leader_lease_ = 0;
    std::uint64_t lease_ = 0;
    std::uint64_t watch_number_ = 0; ///< answers to earlier watches are ignored
    bool relies_on_answers_ = false; ///< of the leader; no store call or timer is in progress
    bool reading_ = false;
    bool writing_record_ = false;
    bool clear_pending_ = false;         ///< a write that clears `ordered_by` may still take effect
    bool leader_key_unverified_ = false; ///< a call failed since the leader key was last read
    bool is_leader_ = false;             ///< until the loss of the leadership is detected
    bool record_readable_ = true;
    bool resigned_ = false; ///< permanently: the process shuts down
    /// The generation in which this process led when the store came back from an older copy; 0: it did not.
    std::uint64_t led_until_return_ = 0;
    failover::leadership_record replaced_record_; ///< by this process's last attempt to become leader
    time_point leader_answered_at_;
    std::uint64_t awaited_leader_ = 0; ///< `leader_revision_` of the leader that was given time to answer
    time_point leader_awaited_from_;
    time_point relay_searched_at_;        ///< when a relay last said that it searches for the leader
    std::uint64_t stored_generation_ = 0; ///< as last read from the store
    std::optional<leader_endpoint> relayed_leader_; ///< as a relay names it
    time_point record_sent_at_;                     ///< when the record was last sent
    time_point record_changed_at_;                  ///< when the store confirmed its last change
    std::uint32_t fleet_size_ = 0;                  ///< that this leader lists
    std::uint64_t own_generation_ = 0;              ///< of this process's last leadership
    std::optional<time_point> last_order_at_;       ///< last promotion order, given or about to be given
    failover::leadership_validity validity_;
    failover::leadership_takeover takeover_;
    failover::leader_contacts contacts_;
    std::function<bool(time_point)> peers_agree_ = [](time_point) { return false; };
};

} // namespace baobabport::proxy
