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
    has_workspaces_ = has_workspaces_ || !request.workspace.empty();
    if (has_workspaces_)
        return submit_fairly(request, now);
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
    queued.label = request.label;
    return queue_.push(queued, queue_limits()) ? slot_decision::wait : slot_decision::refuse;
}

slot_decision slot_scheduler::submit_fairly(const slot_request &request, time_point now)
{
    using kind = connection_outlook::kind;
    queued_request queued;
    queued.key = request.key;
    queued.priority = kind_of(request.priority, request.holds_connection);
    queued.cost = estimator_.expected(request.label);
    queued.enqueued_at = now;
    queued.deadline = request.wait_until;
    queued.label = request.label;
    queued.workspace = request.workspace;
    queued.holds_connection = request.holds_connection;
    const auto ahead = fair_.waiting_of(queued.priority, request.workspace);
    const auto expected =
        request.holds_connection ? connection_outlook{} : outlook(request.workspace, ahead + 1, now);
    if (expected.state == kind::openable && ahead == 0)
        queued.opening_cost = connection_allocation::opening_cost;
    queued.cost += queued.opening_cost;
    const bool connectable = expected.state == kind::ready || expected.state == kind::openable;
    // With a free slot, the others that wait have no connection.
    if (has_capacity(now) && queue_.length() == 0 && ahead == 0 && connectable) {
        fair_.charge_start(queued.priority, queued.workspace, queued.cost);
        start_fairly(queued, expected.state == kind::openable, now);
        return slot_decision::run;
    }
    if (!request.holds_connection) {
        if (expected.state == kind::unavailable && now + expected.wait > request.wait_until)
            return slot_decision::no_connection;
        if (now + expected_wait(request.priority, now, request.workspace) > request.wait_until)
            return slot_decision::refuse;
    }
    return fair_.push(queued, queue_limits()) ? slot_decision::wait : slot_decision::refuse;
}

connection_outlook slot_scheduler::outlook(const std::string &workspace, std::size_t waiting,
                                           time_point now) const
{
    return connections_ ? connections_(workspace, waiting, now) : connection_outlook{};
}

void slot_scheduler::start_fairly(const queued_request &request, bool opens_connection, time_point now)
{
    running_[request.key] = {request.label,     now,          request.priority,
                             request.workspace, request.cost, opens_connection,
                             !opens_connection};
}

void slot_scheduler::correct_charge(const running_statement &ended, time_point now)
{
    const auto opening = std::chrono::microseconds(
        ended.opens_connection ? connection_allocation::opening_cost : std::chrono::milliseconds(0));
    const auto expected = ended.charged - opening;
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(now - ended.since);
    fair_.correct(ended.priority, ended.workspace,
                  std::min(took, expected * max_charged_multiple) - expected);
}

void slot_scheduler::connected(std::uint64_t key, time_point now)
{
    const auto it = running_.find(key);
    if (it != running_.end()) {
        it->second.since = now;
        it->second.connected = true;
    }
}

void slot_scheduler::finished(std::uint64_t key, bool answered, time_point now, bool refused)
{
    const auto it = running_.find(key);
    if (it == running_.end())
        return;
    if (answered) {
        const auto took = std::chrono::duration_cast<std::chrono::microseconds>(now - it->second.since);
        estimator_.finished(it->second.label, took);
        if (it->second.charged.count() > 0)
            correct_charge(it->second, now);
        if (!refused)
            warm_up_.record_answer(it->second.label, took, now);
    }
    if (refused)
        warm_up_.record_refusal();
    running_.erase(it);
}

std::vector<std::uint64_t> slot_scheduler::next(time_point now, std::size_t most)
{
    std::vector<std::uint64_t> out;
    while (has_capacity(now) && out.size() < most) {
        const auto it = queue_.pop([](const auto &) { return true; }, queue_limits(), now);
        if (!it)
            break;
        start(it->key, it->label, now);
        out.push_back(it->key);
    }
    const auto check = [this, now](const std::string &workspace, std::size_t waiting) {
        switch (outlook(workspace, waiting, now).state) {
        case connection_outlook::kind::ready:
            return fair_queue::readiness::ready;
        case connection_outlook::kind::openable:
            return fair_queue::readiness::opens_connection;
        default:
            return fair_queue::readiness::not_now;
        }
    };
    while (has_capacity(now) && out.size() < most) {
        const auto it = fair_.pop(check, queue_limits(), now);
        if (!it)
            break;
        start_fairly(it->request, it->opens_connection, now);
        out.push_back(it->request.key);
    }
    return out;
}

std::vector<std::uint64_t> slot_scheduler::expired(time_point now)
{
    std::vector<std::uint64_t> out;
    for (const auto &it : queue_.pop_expired(now))
        out.push_back(it.key);
    for (const auto &it : fair_.pop_expired(now))
        out.push_back(it.key);
    for (const auto &it : pop_late(now))
        out.push_back(it.key);
    return out;
}

std::vector<queued_request> slot_scheduler::pop_late(time_point now)
{
    if (fair_.length() == 0 || now - late_checked_at_ < late_check_interval)
        return {};
    late_checked_at_ = now;
    const bool slots_free = has_capacity(now);
    const auto running = remaining_running_time(now);
    return fair_.pop_late([&](const queued_request &last, std::chrono::microseconds ahead) {
        const std::chrono::duration<double, std::micro> left = last.deadline - now;
        if (slots_free)
            return outlook(last.workspace, 1, now).wait > left * late_factor;
        // The waiting statements were estimated when they arrived.
        const std::chrono::duration<double, std::micro> expected_then =
            std::max(last.cost - last.opening_cost, std::chrono::microseconds(1));
        const auto growth = estimator_.expected(last.label) / expected_then;
        return (ahead * growth + running) / std::max(1U, std::min(slots_, warm_up_.limit(now))) >
               left * late_factor;
    });
}

std::chrono::microseconds slot_scheduler::expected_wait(std::uint32_t priority, time_point now,
                                                        const std::string &workspace) const
{
    if (has_capacity(now) && (queue_.length() == 0 || has_workspaces_))
        return std::chrono::microseconds(0);
    const auto kind = kind_of(priority, false);
    const auto work =
        queue_.slot_time_ahead(kind) + fair_.slot_time_ahead(kind, workspace) + remaining_running_time(now);
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
        const auto opening =
            it->connected ? std::chrono::milliseconds(0) : connection_allocation::opening_cost;
        const auto whole = estimator_.expected(it->label) + opening;
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
