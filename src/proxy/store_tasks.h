// Follows what operators and instances write into the platform's store.

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

/// A call to the store that takes longer has failed; its usual answer takes a few milliseconds.
inline constexpr std::chrono::milliseconds store_timeout{800};

/// First and longest pause after a failed call. The longest leaves time for a second attempt within the
/// bound for a changed desired state.
inline constexpr std::chrono::milliseconds store_retry_first{150};
inline constexpr std::chrono::milliseconds store_retry_longest{900};

/**
 * Pauses that double with each failure in a row.
 */
class store_backoff
{
public:
    std::chrono::milliseconds after_failure();
    void succeeded() { next_ = store_retry_first; }

private:
    std::chrono::milliseconds next_ = store_retry_first;
};

/**
 * Keeps the newest desired state by a watch.
 */
class desired_state_task
{
public:
    using state_hook = std::function<void(directory::desired_state)>;

    /// One watch waits this long: a silent connection is noticed before the bound for a change is over.
    static constexpr std::chrono::milliseconds watch_time{1500};
    /// As above for the duty's holder: others rely on its word while it is young.
    static constexpr std::chrono::milliseconds leader_watch_time{700};

    desired_state_task(event_base *base, platform::metadata_client &store, state_hook changed);

    void start() { read(); }

    /// Sets the bound after which a change must be in force: a watch takes at most half of it.
    void set_bound(std::chrono::milliseconds bound);

    /// Returns when the store last said which state is the newest, to this process or another.
    [[nodiscard]] std::chrono::steady_clock::time_point confirmed_at() const { return confirmed_at_; }

    /// Takes in what another process knows: the newest version at that time. `applied`: the one in force
    /// here.
    void apply_peer_report(std::uint64_t newest, std::uint64_t applied,
                           std::chrono::steady_clock::time_point confirmed_at);

    /// The duty's holder asks the store whatever others say, since they rely on it.
    void set_independent(bool independent) { independent_ = independent; }

    /// What another process knows is relied on while it is younger than this: as a watch of its own.
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
    bool read_needed_ = true; ///< the next call reads, since a watch needs a place to begin
    bool independent_ = false;
    bool call_in_flight_ = false; ///< a call is under way
    bool reachable_ = true;
    std::chrono::steady_clock::time_point confirmed_at_;
};

/**
 * Lists the instances' records at an interval.
 */
class instance_list_task
{
public:
    using list_hook = std::function<void(std::vector<directory::instance_record>)>;

    /// A leaving instance is known in a fraction of the time that it still serves.
    static constexpr std::chrono::milliseconds interval{1200};
    /// Until instances are known, lists are asked for this often.
    static constexpr std::chrono::milliseconds first_interval{400};

    /// `failed` is told of each listing that failed.
    instance_list_task(event_base *base, platform::metadata_client &store, list_hook listed,
                       std::function<void()> failed);

    void start() { list_from({}); }

    /// Takes in what another process knows. `same`: it has the instances that this one has.
    void apply_peer_report(bool same, std::chrono::steady_clock::time_point listed_at);
    void set_independent(bool independent) { independent_ = independent; }

    /// What another process listed is relied on while it is younger than this.
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
    std::string last_bad_entry_;                           ///< reported once
    std::chrono::steady_clock::time_point peer_report_at_; ///< of another process with the same instances
    bool independent_ = false;
    bool listing_ = false;
};

} // namespace baobabport::proxy
