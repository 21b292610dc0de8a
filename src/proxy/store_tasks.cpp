#include "proxy/store_tasks.h"

#include "platform/record_codec.h"
#include "support/boot_clock.h"
#include "support/json_log.h"

#include <algorithm>
#include <utility>

namespace baobabport::proxy {

using platform::call_outcome;
using support::log_event;
using support::log_warning;

std::chrono::milliseconds store_backoff::after_failure()
{
    const auto out = next_;
    next_ = std::min(next_ * 2, store_retry_longest);
    return out;
}

desired_state_task::desired_state_task(event_base *base, platform::metadata_client &store, state_hook changed)
    : store_(store), changed_(std::move(changed)), timer_(base, [this] { continue_following(); })
{
}

void desired_state_task::set_bound(std::chrono::milliseconds bound)
{
    watch_time_ = std::clamp(bound / 2, store_retry_first, watch_time);
}

void desired_state_task::continue_following()
{
    const bool report_is_fresh =
        !independent_ && support::boot_clock::now() - confirmed_at_ < peer_report_lifetime;
    if (report_is_fresh)
        timer_.start(peer_report_check_interval);
    else if (read_needed_)
        read();
    else
        watch();
}

void desired_state_task::confirm(std::chrono::steady_clock::time_point at)
{
    confirmed_at_ = std::max(confirmed_at_, at); // a peer report may be more recent
}

void desired_state_task::apply_peer_report(std::uint64_t newest, std::uint64_t applied,
                                           std::chrono::steady_clock::time_point confirmed_at)
{
    if (newest == applied) {
        confirm(confirmed_at);
    } else if (newest > applied && !call_in_flight_) {
        timer_.stop();
        read();
    }
}

void desired_state_task::read()
{
    call_in_flight_ = true;
    const auto sent = support::boot_clock::now();
    store_.read(platform::desired_state_key, store_timeout, [this, sent](const auto &reply) {
        call_in_flight_ = false;
        if (reply.outcome == call_outcome::missing)
            confirm(sent); // the store answered that there is none yet
        else if (reply.outcome != call_outcome::done || reply.items.empty())
            record_failure(reply);
        if (reply.outcome != call_outcome::done || reply.items.empty()) {
            schedule_read(backoff_.after_failure());
            return;
        }
        confirm(sent);
        read_needed_ = false;
        revision_ = reply.revision;
        apply(reply.items.front());
        continue_following();
    });
}

void desired_state_task::watch()
{
    call_in_flight_ = true;
    const auto sent = support::boot_clock::now();
    store_.watch(platform::desired_state_prefix, revision_,
                 independent_ ? std::min(watch_time_, leader_watch_time) : watch_time_,
                 [this, sent](const auto &reply) {
                     call_in_flight_ = false;
                     if (reply.outcome == call_outcome::history_gone) {
                         log_event("desired_state_history_gone", {{"revision", std::to_string(revision_)}});
                         schedule_read(std::chrono::milliseconds(0));
                         return;
                     }
                     if (reply.outcome != call_outcome::done) {
                         record_failure(reply);
                         // A read also returns a change that a watch on a bad connection has missed.
                         schedule_read(backoff_.after_failure());
                         return;
                     }
                     if (!reachable_)
                         log_event("store_regained", {{"use", "desired state"}});
                     reachable_ = true;
                     confirm(sent);
                     backoff_.succeeded();
                     revision_ = std::max(revision_, reply.revision);
                     for (const auto &it : reply.items) {
                         if (it.key == platform::desired_state_key && !it.removed)
                             apply(it);
                     }
                     continue_following();
                 });
}

void desired_state_task::apply(const platform::stored_item &item)
{
    std::string reason;
    auto state = platform::read_desired_state(item.value, reason);
    if (!state) {
        log_warning("desired_state_unreadable", {{"reason", reason}});
        return;
    }
    changed_(std::move(*state));
}

void desired_state_task::schedule_read(std::chrono::milliseconds delay)
{
    read_needed_ = true;
    timer_.start(delay);
}

void desired_state_task::record_failure(const platform::store_reply &reply)
{
    if (reachable_)
        log_warning("store_lost", {{"use", "desired state"}, {"reason", reply.reason}});
    reachable_ = false;
}

instance_list_task::instance_list_task(event_base *base, platform::metadata_client &store, list_hook listed,
                                       std::function<void()> failed)
    : store_(store), listed_(std::move(listed)), failed_(std::move(failed)),
      timer_(base, [this] { list_if_due(); })
{
}

void instance_list_task::list_if_due()
{
    const bool report_is_fresh =
        !independent_ && support::boot_clock::now() - peer_report_at_ < peer_report_lifetime;
    if (report_is_fresh)
        timer_.start(peer_report_check_interval);
    else
        list_from({});
}

void instance_list_task::apply_peer_report(bool same, std::chrono::steady_clock::time_point listed_at)
{
    if (same)
        peer_report_at_ = std::max(peer_report_at_, listed_at);
    else if (!listing_ && listed_at > peer_report_at_) {
        peer_report_at_ = {};
        timer_.start(std::chrono::milliseconds(0));
    }
}

void instance_list_task::list_from(const std::string &after)
{
    listing_ = true;
    if (after.empty())
        records_.clear();
    store_.list(platform::instances_prefix, after, store_timeout,
                [this](const platform::store_reply &reply) { apply(reply); });
}

void instance_list_task::apply(const platform::store_reply &reply)
{
    listing_ = false;
    if (reply.outcome != call_outcome::done) {
        failed_();
        timer_.start(backoff_.after_failure());
        return;
    }
    backoff_.succeeded();
    for (const auto &it : reply.items) {
        std::string reason;
        auto record = platform::read_instance_record(it.key, it.value, reason);
        if (record) {
            records_.push_back(std::move(*record));
        } else if (last_unusable_key_ != it.key) {
            last_unusable_key_ = it.key;
            log_warning("instance_record_unusable", {{"key", it.key}, {"reason", reason}});
        }
    }
    if (reply.more && !reply.items.empty()) {
        list_from(reply.items.back().key);
        return;
    }
    const bool empty = records_.empty();
    listed_(std::move(records_));
    records_.clear();
    timer_.start(empty ? first_interval : interval);
}

} // namespace baobabport::proxy
