// Opening, reuse and closing of the connections, and the queue of requests for them.

#include "proxy/instance_pool.h"

#include "support/boot_clock.h"
#include "support/json_log.h"

#include <algorithm>
#include <map>
#include <set>

namespace baobabport::proxy {

using clock_type = support::boot_clock;

instance_pool::instance_pool(event_base *base, upstream_target target, std::uint32_t limit,
                             health_hooks health)
    : base_(base), target_(std::move(target)), health_(std::move(health)), allocation_(limit)
{
}

instance_pool::~instance_pool()
{
    for (const auto &it : all_)
        it->abandon();
}

time_point instance_pool::now()
{
    return clock_type::now();
}

instance_pool::request_id instance_pool::acquire(const connection_request &request, acquire_hook done)
{
    const auto id = ++last_request_id_;
    if (retired_) {
        done(nullptr, acquire_failure::unreachable);
        return id;
    }
    const auto waits_for_same = [&request](const auto &it) {
        return it.request.workspace == request.workspace;
    };
    if (std::none_of(waiting_.begin(), waiting_.end(), waits_for_same)) {
        if (const auto it = pop_idle(request)) {
            done(it, std::nullopt);
            return id;
        }
    }
    if (all_.empty() && !reachable(now())) {
        done(nullptr, acquire_failure::unreachable);
        return id;
    }
    waiting_.push_back({id, request, std::move(done)});
    open_for_waiting();
    refuse_hopeless(now());
    return id;
}

void instance_pool::cancel(request_id which)
{
    waiting_.remove_if([which](const waiter &it) { return it.id == which; });
}

void instance_pool::release(const connection &it)
{
    if (it->is_closed())
        return;
    if (retired_ || it->unanswered() > 0) {
        drop(it);
        return;
    }
    allocation_.released(it->number, now());
    serve_waiting();
    open_for_waiting(); // it may be closed in favour of another workspace
}

void instance_pool::drop(const connection &it)
{
    const bool known = find(it->number) == it;
    it->abandon();
    if (!known)
        return;
    remove(it);
    open_for_waiting();
}

void instance_pool::rest(const connection &it, time_point may_end_at)
{
    allocation_.rested(it->number, may_end_at);
}

void instance_pool::resume(const connection &it)
{
    allocation_.taken(it->number, std::nullopt, now());
}

admission::connection_outlook instance_pool::outlook(const std::string &workspace, std::size_t waiting,
                                                     time_point now) const
{
    return allocation_.outlook(workspace, waiting, now);
}

instance_pool::connection instance_pool::find(std::uint64_t number) const
{
    const auto it =
        std::find_if(all_.begin(), all_.end(), [number](const auto &at) { return at->number == number; });
    return it == all_.end() ? nullptr : *it;
}

void instance_pool::remove(const connection &it)
{
    allocation_.removed(it->number);
    std::erase(all_, it);
}

const instance_pool::waiter *instance_pool::next_to_open() const
{
    std::map<std::string, std::size_t> waiting;
    const waiter *out = nullptr;
    for (const auto &it : waiting_) {
        const bool more_urgent = !out || it.request.priority < out->request.priority;
        if (++waiting[it.request.workspace] > allocation_.opening(it.request.workspace) && more_urgent)
            out = &it;
    }
    return out;
}

void instance_pool::open_for_waiting()
{
    if (retired_ || waiting_.empty())
        return;
    const auto *const next = next_to_open();
    if (!next)
        return;
    std::set<std::string> needed;
    for (const auto &it : waiting_)
        needed.insert(it.request.workspace);
    const auto plan = allocation_.plan_opening(next->request.workspace, needed, now());
    if (plan.close)
        close_idle(*plan.close);
    if (plan.open)
        open(next->request);
    else if (plan.close)
        allocation_.record_replacement(now()); // the next tick opens one
}

void instance_pool::close_idle(std::uint64_t number)
{
    const auto closed = find(number);
    closed->abandon();
    remove(closed);
}

void instance_pool::open(const connection_request &request)
{
    auto target = target_;
    if (!request.workspace.empty())
        target.caller = request.workspace;
    auto it = std::make_shared<upstream_connection>(base_, std::move(target));
    it->workspace = request.workspace;
    it->number = ++last_connection_number_;
    health_.requested();
    all_.push_back(it);
    allocation_.add(it->number, it->workspace);
    auto *const raw = it.get();
    const std::weak_ptr<instance_pool> weak = weak_from_this();
    it->open({[weak, raw] {
                  const auto me = weak.lock();
                  if (!me)
                      return;
                  me->health_.answered();
                  me->allocation_.opened(raw->number, now());
                  me->serve_waiting();
                  me->open_for_waiting();
              },
              health_.requested, health_.answered,
              [weak, raw](const std::optional<session::failure> &refusal) {
                  if (const auto me = weak.lock())
                      me->on_closed(raw, refusal);
              }});
}

void instance_pool::on_closed(upstream_connection *which, const std::optional<session::failure> &refusal)
{
    const auto kept = find(which->number); // keeps the object alive until this function returns
    if (kept.get() != which)
        return;
    remove(kept);
    const bool at_limit = refusal && refusal->code == session::answer_code::connection_limit;
    if (!at_limit && !kept->was_open())
        allocation_.record_failure(now());
    if (at_limit) {
        health_.answered(); // it is responsive; other processes use all its connections
        allocation_.record_limit_refusal(now());
    } else {
        lost_ = true;
        health_.failed(refusal ? "refused with " + std::string(platform::code_word(refusal->code)) + ' ' +
                                     refusal->text
                               : "connection lost",
                       kept->is_absent());
    }
    if (all_.empty())
        refuse_waiting(acquire_failure::unreachable);
    if (allocation_.has_workspaces())
        open_for_waiting(); // in place of an idle one
    refuse_hopeless(now());
}

void instance_pool::serve_waiting()
{
    // After a suspension of the process, sockets are handled before timers: requests may have expired.
    refuse_expired(now());
    for (;;) {
        auto next = waiting_.end();
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
            const bool more_urgent = next == waiting_.end() || it->request.priority < next->request.priority;
            if (more_urgent && allocation_.idle_of(it->request.workspace, {}))
                next = it;
        }
        if (next == waiting_.end())
            return;
        auto chosen = std::move(*next);
        waiting_.erase(next);
        chosen.done(pop_idle(chosen.request), std::nullopt);
    }
}

void instance_pool::refuse_waiting(acquire_failure reason)
{
    auto refused = std::move(waiting_);
    waiting_.clear();
    for (auto &it : refused)
        it.done(nullptr, reason);
}

instance_pool::connection instance_pool::pop_idle(const connection_request &request)
{
    const auto has_values = [this, &request](std::uint64_t number) {
        return request.values && find(number)->session_state.values() == *request.values;
    };
    const auto chosen = allocation_.idle_of(request.workspace, has_values);
    if (!chosen)
        return nullptr;
    allocation_.taken(*chosen, request.hold, now());
    return find(*chosen);
}

void instance_pool::refuse_expired(time_point now)
{
    std::vector<acquire_hook> expired;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->request.deadline > now) {
            ++it;
            continue;
        }
        expired.push_back(std::move(it->done));
        it = waiting_.erase(it);
    }
    for (const auto &it : expired)
        it(nullptr, acquire_failure::wait_expired);
}

void instance_pool::refuse_hopeless(time_point now)
{
    std::vector<acquire_hook> refused;
    std::map<std::string, std::size_t> waiting;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        const auto &workspace = it->request.workspace;
        // One that is being opened is for the first of its workspace's requests.
        const bool has_attempt = ++waiting[workspace] <= allocation_.opening(workspace);
        const bool in_time = now + allocation_.outlook(workspace, 1, now).wait <= it->request.deadline;
        if (workspace.empty() || has_attempt || in_time) {
            ++it;
            continue;
        }
        refused.push_back(std::move(it->done));
        it = waiting_.erase(it);
    }
    for (const auto &it : refused)
        it(nullptr, acquire_failure::exhausted);
}

void instance_pool::tick(time_point now)
{
    refuse_expired(now);
    close_unneeded(now);
    end_slow_attempts(now);
    end_unresponsive(now);
    open_for_waiting();
    refuse_hopeless(now);
}

void instance_pool::close_unneeded(time_point now)
{
    // Whether this process is the home takes a ranking of the fleet, so it is asked only when it matters.
    if (allocation_.idle_too_long(false, now).empty())
        return;
    for (const auto it : allocation_.idle_too_long(is_home_(), now))
        close_idle(it);
}

void instance_pool::end_slow_attempts(time_point now)
{
    const auto slow = std::find_if(all_.begin(), all_.end(), [now](const auto &it) {
        return !it->is_open() && now - it->created_at() > open_timeout;
    });
    if (slow == all_.end())
        return;
    const auto it = *slow;
    it->abandon();
    remove(it);
    allocation_.record_failure(now);
    lost_ = true;
    health_.failed("opening a connection timed out", false);
    if (all_.empty())
        refuse_waiting(acquire_failure::unreachable);
}

void instance_pool::end_unresponsive(time_point now)
{
    std::vector<connection> unresponsive;
    for (const auto &it : all_) {
        if (it->is_open() && it->unanswered() > 0 && now >= it->deadline)
            unresponsive.push_back(it);
    }
    for (const auto &it : unresponsive) {
        lost_ = true;
        it->end_without_answer();
    }
}

void instance_pool::retire()
{
    retired_ = true;
    const auto known = all_;
    for (const auto &it : known) {
        if (allocation_.is_idle(it->number))
            drop(it);
    }
    refuse_waiting(acquire_failure::unreachable);
}

} // namespace baobabport::proxy
