#include "admission/slot_scheduler.h"

#include <algorithm>

namespace baobabport::admission {

namespace {

/// Limits memory use only: requests are refused for their expected wait long before.
constexpr std::uint32_t max_waiting = 4096;
constexpr std::size_t max_waiting_bytes = std::size_t{64} * 1024 * 1024;
/// A statement that has waited this long may precede more urgent ones; the queue limits how often.
constexpr std::chrono::milliseconds ageing{400};

document::limit_policy queue_limits()
{
    document::limit_policy out;
    out.queue_length = max_waiting;
    out.queue_bytes = max_waiting_bytes;
    out.ageing = ageing;
    return out;
}

document::priority_kind kind_of(std::uint32_t priority, bool holds_connection)
{
    if (holds_connection || priority == 0)
        return document::priority_kind::first;
    return priority == 1 ? document::priority_kind::normal : document::priority_kind::background;
}

} // namespace

slot_decision slot_scheduler::submit(const slot_request &request, time_point now)
{
    if (has_capacity(now) && queue_.length() == 0) {
        start(request.key, request.label, now);
        return slot_decision::run;
    }
    const bool too_late = now + expected_wait(request.priority, now) > request.wait_until;
    if (too_late && !request.holds_connection)
        return slot_decision::refuse;
    queued_request queued;
    queued.key = request.key;
    queued.class_name = request.holds_connection ? "open " + request.label : request.label;
    queued.priority = kind_of(request.priority, request.holds_connection);
    queued.cost = estimator_.expected(request.label);
    queued.enqueued_at = now;
    queued.deadline = request.wait_until;
    return queue_.push(queued, queue_limits()) ? slot_decision::wait : slot_decision::refuse;
}

void slot_scheduler::connected(std::uint64_t key, time_point now)
{
    const auto it = running_.find(key);
    if (it != running_.end())
        it->second.since = now;
}

void slot_scheduler::finished(std::uint64_t key, bool answered, time_point now, bool refused)
{
    const auto it = running_.find(key);
    if (it == running_.end())
        return;
    if (answered) {
        const auto took = std::chrono::duration_cast<std::chrono::microseconds>(now - it->second.since);
        estimator_.finished(it->second.label, took);
        if (!refused)
            warm_up_.record_answer(it->second.label, took, now);
    }
    if (refused)
        warm_up_.record_refusal();
    running_.erase(it);
}

std::vector<std::uint64_t> slot_scheduler::next(time_point now)
{
    std::vector<std::uint64_t> out;
    while (has_capacity(now)) {
        const auto it = queue_.pop([](const auto &) { return true; }, queue_limits(), now);
        if (!it)
            break;
        start(it->key, it->class_name, now);
        out.push_back(it->key);
    }
    return out;
}

std::vector<std::uint64_t> slot_scheduler::expired(time_point now)
{
    std::vector<std::uint64_t> out;
    for (const auto &it : queue_.pop_expired(now))
        out.push_back(it.key);
    return out;
}

std::chrono::microseconds slot_scheduler::expected_wait(std::uint32_t priority, time_point now) const
{
    if (has_capacity(now) && queue_.length() == 0)
        return std::chrono::microseconds(0);
    const auto work = queue_.slot_time_ahead(kind_of(priority, false)) + remaining_running_time(now);
    return work / std::max(1U, std::min(slots_, warm_up_.limit(now)));
}

std::chrono::microseconds slot_scheduler::remaining_running_time(time_point now) const
{
    std::vector<const running_statement *> oldest_first;
    for (const auto &it : running_)
        oldest_first.push_back(&it.second);
    std::sort(oldest_first.begin(), oldest_first.end(),
              [](const auto *one, const auto *other) { return one->since < other->since; });
    std::chrono::microseconds out(0);
    std::uint32_t counted = 0;
    for (const auto *const it : oldest_first) {
        const auto whole = estimator_.expected(it->label);
        const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - it->since);
        // Statements beyond the slots still wait at the instance, so their whole time counts.
        out += counted++ < slots_ ? std::max(whole - elapsed, std::chrono::microseconds(0)) : whole;
    }
    return out;
}

void slot_scheduler::start(std::uint64_t key, const std::string &label, time_point now)
{
    running_[key] = {label, now};
}

} // namespace baobabport::admission
