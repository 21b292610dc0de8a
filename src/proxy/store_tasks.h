// Reads the desired state, written by operators, and the instances' records from the platform's store, and
// keeps them up to date.

#pragma once

#include "directory/desired_state.h"
#include "directory/instance_record.h"
#include "inner/timer.h"
#include "platform/metadata_client.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

struct event_base;

namespace baobabport::proxy {

/// Time-out of a call to the store, whose usual response time is a few milliseconds.
inline constexpr std::chrono::milliseconds store_timeout{800};

/// First and longest back-off delay after a failed call. The longest leaves time for a second attempt within
/// the bound for a changed desired state.
inline constexpr std::chrono::milliseconds store_retry_first{150};
inline constexpr std::chrono::milliseconds store_retry_longest{900};

/**
 * Back-off delays that double with each consecutive failure.
 */
class store_backoff
{
public:
    /// Returns the delay before the next attempt.
    std::chrono::milliseconds after_failure();
    void succeeded() { next_ = store_retry_first; }

private:
    std::chrono::milliseconds next_ = store_retry_first;
};

/**
 * Keeps the newest desired state: reads it, then watches for changes. While the leader's reports confirm the
 * state, followers make no calls of their own.
 */
class desired_state_task
{
public:
    using state_hook = std::function<void(directory::desired_state)>;

    /// Duration of one watch: an unresponsive connection is detected before the bound for a change is over.
    static constexpr std::chrono::milliseconds watch_time{1500};
    /// The same for the leader: other processes rely on its reports while they are recent.
    static constexpr std::chrono::milliseconds leader_watch_time{700};

    desired_state_task(event_base *base, platform::metadata_client &store, state_hook changed);

    void start() { read(); }

    /// Sets the bound within which a change must take effect: a watch takes at most half of it.
    void set_bound(std::chrono::milliseconds bound);

    /// Returns when the store last confirmed which state is the newest, to this process or another.
    [[nodiscard]] std::chrono::steady_clock::time_point confirmed_at() const { return confirmed_at_; }

    /// Applies a report of the leader: `newest` was the newest version at `confirmed_at`. `applied`: the
    /// version in effect here.
    void apply_peer_report(std::uint64_t newest, std::uint64_t applied,
                           std::chrono::steady_clock::time_point confirmed_at);

    /// Sets whether this process calls the store even while reports are recent; true for the leader, whose
    /// reports the others rely on.
    void set_independent(bool independent) { independent_ = independent; }

    /// A report is relied on while it is younger than this, as long as a watch of this process takes.
    static constexpr std::chrono::milliseconds peer_report_lifetime{1500};
    static constexpr std::chrono::milliseconds peer_report_check_interval{250};

private:
    void read();
    void watch();
    void continue_following();
    void confirm(std::chrono::steady_clock::time_point at);
    void apply(const platform::stored_item &item);
    void schedule_read(std::chrono::milliseconds delay);
    void record_failure(const platform::store_reply &reply);

    platform::metadata_client &store_;
    state_hook changed_;
    inner::timer timer_;
    store_backoff backoff_;
    std::uint64_t revision_ = 0;
    std::chrono::milliseconds watch_time_ = watch_time;
    bool read_needed_ = true; ///< before the next watch, which needs a revision to start from
    bool independent_ = false;
    bool call_in_flight_ = false; ///< a read or a watch
    bool reachable_ = true;
    std::chrono::steady_clock::time_point confirmed_at_;
};

/**
 * Lists the instances' records at an interval, unless recent reports of the leader confirm the list.
 */
class instance_list_task
{
public:
    using list_hook = std::function<void(std::vector<directory::instance_record>)>;

    /// Short enough that a draining instance is detected in a fraction of the time that it still serves.
    static constexpr std::chrono::milliseconds interval{1200};
    /// Interval of listings until one contains an instance.
    static constexpr std::chrono::milliseconds first_interval{400};

    /// `listed` receives each complete list; `failed` is called after each listing that failed.
    instance_list_task(event_base *base, platform::metadata_client &store, list_hook listed,
                       std::function<void()> failed);

    void start() { list_from({}); }

    /// Applies a report of the leader. `same`: the instances that it listed at `listed_at` are the same as
    /// here.
    void apply_peer_report(bool same, std::chrono::steady_clock::time_point listed_at);
    void set_independent(bool independent) { independent_ = independent; }

    /// A report is relied on while it is younger than this.
    static constexpr std::chrono::milliseconds peer_report_lifetime{2500};
    static constexpr std::chrono::milliseconds peer_report_check_interval{300};

private:
    void list_if_due();
    void list_from(const std::string &after);
    void apply(const platform::store_reply &reply);

    platform::metadata_client &store_;
    list_hook listed_;
    std::function<void()> failed_;
    inner::timer timer_;
    store_backoff backoff_;
    std::vector<directory::instance_record> records_;      ///< of the listing in progress
    std::string last_unusable_key_;                        ///< already logged
    std::chrono::steady_clock::time_point peer_report_at_; ///< newest listing with the same instances
    bool independent_ = false;
    bool listing_ = false;
};

} // namespace baobabport::proxy
