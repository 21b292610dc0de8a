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

void desired_state_task::start(bool peers_expected)
{
    timer_.start(peers_expected ? first_read_delay : std::chrono::milliseconds(0));
}

void desired_state_task::set_independent(bool independent)
{
    const bool begins = independent && !independent_;
    independent_ = independent;
    if (begins)
        read_now();
}

void desired_state_task::read_now()
{
    if (call_in_flight_)
        return;
    timer_.stop();
    read();
}

void desired_state_task::set_bound(std::chrono::milliseconds bound)
{
    watch_time_ = std::clamp(bound / 2, store_retry_first, watch_time);
    report_lifetime_ = std::clamp(bound - own_read_time, shortest_report_lifetime, longest_report_lifetime);
}

std::chrono::milliseconds desired_state_task::leader_watch_time() const
{
    // A watch confirms the state as of its beginning, and the next one takes as long again.
    return std::min(watch_time_, (report_lifetime_ - report_time) / 2);
}

void desired_state_task::continue_following()
{
    const bool report_is_fresh =
        !independent_ && support::boot_clock::now() - confirmed_at_ < report_lifetime_;
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
        if (!read_from_peer(newest))
            read();
    }
}

bool desired_state_task::read_from_peer(std::uint64_t wanted)
{
    if (independent_ || !peer_read_)
        return false;
    call_in_flight_ = peer_read_([this, wanted](const std::optional<peer_items> &items) {
        call_in_flight_ = false;
        if (!items || items->size() != 1 || apply(items->front().second) < wanted) {
            read();
            return;
        }
        read_needed_ = true; // the revision that a watch would start from is not known
        continue_following();
    });
    return call_in_flight_;
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
        position_ = reply.position();
        apply(reply.items.front().value);
        continue_following();
    });
}

void desired_state_task::watch()
{
    call_in_flight_ = true;
    const auto sent = support::boot_clock::now();
    store_.watch(
        platform::desired_state_prefix, position_, independent_ ? leader_watch_time() : watch_time_,
        [this, sent](const auto &reply) {
            call_in_flight_ = false;
            if (reply.outcome == call_outcome::history_gone) {
                log_event("desired_state_history_gone", {{"revision", std::to_string(position_.revision)}});
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
            position_ = std::max(position_, reply.position());
            for (const auto &it : reply.items) {
                if (it.key == platform::desired_state_key && !it.removed)
                    apply(it.value);
            }
            continue_following();
        });
}

std::uint64_t desired_state_task::apply(const std::string &value)
{
    std::string reason;
    auto state = platform::read_desired_state(value, reason);
    if (!state) {
        log_warning("desired_state_unreadable", {{"reason", reason}});
        return 0;
    }
    value_ = platform::without_keys(value); // may be longer than the value
    if (value_.size() > max_passed_on)
        value_.clear();
    const auto version = state->version;
    changed_(std::move(*state));
    return version;
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

void instance_list_task::start(bool peers_expected)
{
    timer_.start(peers_expected ? first_read_delay : std::chrono::milliseconds(0));
}

void instance_list_task::set_independent(bool independent)
{
    const bool begins = independent && !independent_;
    independent_ = independent;
    if (begins)
        list_now();
}

void instance_list_task::list_now()
{
    if (listing_)
        return;
    timer_.stop();
    list_from({});
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
        if (!list_from_peer())
            timer_.start(std::chrono::milliseconds(0));
    }
}

bool instance_list_task::list_from_peer()
{
    const auto now = support::boot_clock::now();
    if (independent_ || !peer_read_ || now - peer_read_at_ < peer_read_interval)
        return false;
    listing_ = peer_read_([this](const std::optional<peer_items> &items) {
        listing_ = false;
        if (!items) {
            timer_.start(std::chrono::milliseconds(0));
            return;
        }
        records_.clear();
        pending_items_.clear();
        pending_unusable_.clear();
        for (const auto &[key, value] : *items)
            add_record(key, value);
        finish_listing();
    });
    if (listing_) {
        peer_read_at_ = now;
        timer_.stop();
    }
    return listing_;
}

void instance_list_task::add_record(const std::string &key, const std::string &value)
{
    pending_items_.emplace_back(key, value);
    std::string reason;
    auto record = platform::read_instance_record(key, value, reason);
    if (record) {
        records_.push_back(std::move(*record));
    } else if (pending_unusable_.size() < max_unusable_keys && pending_unusable_.insert(key).second &&
               !unusable_keys_.count(key)) {
        log_warning("instance_record_unusable", {{"key", key}, {"reason", reason}});
    }
}

void instance_list_task::finish_listing()
{
    const bool empty = records_.empty();
    items_ = std::move(pending_items_);
    pending_items_.clear();
    unusable_keys_ = std::move(pending_unusable_);
    pending_unusable_.clear();
    listed_(std::move(records_));
    records_.clear();
    timer_.start(empty ? first_interval : interval);
}

void instance_list_task::list_from(const std::string &after)
{
    listing_ = true;
    if (after.empty()) {
        records_.clear();
        pending_items_.clear();
        pending_unusable_.clear();
    }
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
    for (const auto &it : reply.items)
        add_record(it.key, it.value);
    if (reply.more && !reply.items.empty()) {
        list_from(reply.items.back().key);
        return;
    }
    finish_listing();
}

} // namespace baobabport::proxy
