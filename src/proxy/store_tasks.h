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
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

struct event_base;

namespace baobabport::proxy {

/// Keys and values, as they are in the store.
using peer_items = std::vector<std::pair<std::string, std::string>>;

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

/// A process waits this long after its start for another process to name the newest desired state and the
/// instances; then it reads them from the store.
inline constexpr std::chrono::milliseconds first_read_delay{700};

/// Reads a part of the directory from the process whose reports this one relies on, if there is one: returns
/// false, or calls the hook once, with the items or none.
using peer_read = std::function<bool(std::function<void(const std::optional<peer_items> &)>)>;

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
    /// A process that can no longer rely on reports needs this part of the bound to ask the store itself.
    static constexpr std::chrono::milliseconds own_read_time{1000};
    /// Time in which a report of the leader reaches all processes, through relays.
    static constexpr std::chrono::milliseconds report_time{600};

    desired_state_task(event_base *base, platform::metadata_client &store, state_hook changed);

    /// Begins to follow the state; at once if no other process may report it.
    void start(bool peers_expected);

    /// Reads the state from the store without waiting for another process, unless a call is in progress.
    void read_now();

    /// Sets how to read the state from another process.
    void set_peer_read(peer_read read) { peer_read_ = std::move(read); }

    /// Returns the value that was applied last, with hashes in place of keys; empty: none, or it was too
    /// large.
    [[nodiscard]] const std::string &value() const { return value_; }
    /// A larger value, in bytes, is read from the store by each process: passing it on would occupy the link
    /// of a small VM for seconds.
    static constexpr std::size_t max_passed_on = 65536;

    /// Sets the bound within which a change must take effect. A watch takes at most half of it, and reports
    /// are relied on for as long as the rest allows.
    void set_bound(std::chrono::milliseconds bound);

    /// Returns when the store last confirmed which state is the newest, to this process or another.
    [[nodiscard]] std::chrono::steady_clock::time_point confirmed_at() const { return confirmed_at_; }

    /// Applies a report of the leader: `newest` was the newest version at `confirmed_at`. `applied`: the
    /// version in effect here.
    void apply_peer_report(std::uint64_t newest, std::uint64_t applied,
                           std::chrono::steady_clock::time_point confirmed_at);

    /// Sets whether this process calls the store even while reports are recent; true for the leader, whose
    /// reports the others rely on.
    void set_independent(bool independent);

    /// Bounds of the time for which a report is relied on.
    static constexpr std::chrono::milliseconds shortest_report_lifetime{1500};
    static constexpr std::chrono::milliseconds longest_report_lifetime{3000};
    static constexpr std::chrono::milliseconds peer_report_check_interval{250};

private:
    void read();
    bool read_from_peer(std::uint64_t wanted);
    void watch();
    [[nodiscard]] std::chrono::milliseconds leader_watch_time() const;
    void continue_following();
    void confirm(std::chrono::steady_clock::time_point at);
    /// Returns the version of the state, or 0 if it cannot be read.
    std::uint64_t apply(const std::string &value);
    void schedule_read(std::chrono::milliseconds delay);
    void record_failure(const platform::store_reply &reply);

    platform::metadata_client &store_;
    state_hook changed_;
    peer_read peer_read_;
    std::string value_;
    inner::timer timer_;
    store_backoff backoff_;
    platform::store_position position_; ///< from which the next watch continues
    std::chrono::milliseconds watch_time_ = watch_time;
    std::chrono::milliseconds report_lifetime_ = shortest_report_lifetime;
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

    /// Begins to list; at once if no other process may report the instances.
    void start(bool peers_expected);

    /// Lists from the store without waiting for another process, unless a listing is in progress.
    void list_now();

    /// Sets how to list the instances from another process.
    void set_peer_read(peer_read read) { peer_read_ = std::move(read); }

    /// Returns the number of keys whose records could not be used when they were last listed.
    [[nodiscard]] std::size_t unusable() const { return unusable_keys_.size(); }
    /// Further unusable records are neither logged nor counted.
    static constexpr std::size_t max_unusable_keys = 1024;

    /// Returns the items of the last complete listing.
    [[nodiscard]] const peer_items &items() const { return items_; }

    /// Applies a report of the leader. `same`: the instances that it listed at `listed_at` are the same as
    /// here.
    void apply_peer_report(bool same, std::chrono::steady_clock::time_point listed_at);
    void set_independent(bool independent);

    /// The list is not read from a peer again within this time: if it differs still, the store has the truth.
    static constexpr std::chrono::milliseconds peer_read_interval{300};

    /// A report is relied on while it is younger than this.
    static constexpr std::chrono::milliseconds peer_report_lifetime{2500};
    static constexpr std::chrono::milliseconds peer_report_check_interval{300};

private:
    void list_if_due();
    void list_from(const std::string &after);
    bool list_from_peer();
    void apply(const platform::store_reply &reply);
    void add_record(const std::string &key, const std::string &value);
    void finish_listing();

    platform::metadata_client &store_;
    peer_read peer_read_;
    std::chrono::steady_clock::time_point peer_read_at_;
    list_hook listed_;
    std::function<void()> failed_;
    inner::timer timer_;
    store_backoff backoff_;
    std::vector<directory::instance_record> records_; ///< of the listing in progress
    peer_items pending_items_;                        ///< of the listing in progress
    peer_items items_;
    std::set<std::string> pending_unusable_; ///< of the listing in progress
    std::set<std::string> unusable_keys_;    ///< of records that were left out of the last one and logged
    std::chrono::steady_clock::time_point peer_report_at_; ///< newest listing with the same instances
    bool independent_ = false;
    bool listing_ = false;
};

} // namespace baobabport::proxy
