// Opening, reuse and closing of the connections, and the queue of requests for them.

#include "proxy/instance_pool.h"

#include "support/boot_clock.h"
#include "support/json_log.h"

#include <algorithm>
#include <map>

namespace baobabport::proxy {

using clock_type = support::boot_clock;

instance_pool::instance_pool(event_base *base, upstream_target target, std::uint32_t limit,
                             health_hooks health)
    : base_(base), target_(std::move(target)), limit_(limit), health_(std::move(health))
{
}

instance_pool::~instance_pool()
{
    for (const auto &it : all_)
        it->abandon();
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
    if (all_.empty() && !reachable(clock_type::now())) {
        done(nullptr, acquire_failure::unreachable);
        return id;
    }
    waiting_.push_back({id, request, std::move(done)});
    open_for_waiting();
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
    idle_.push_back({it, clock_type::now()});
    serve_waiting();
    open_for_waiting(); // it may be closed in favour of another workspace
}

void instance_pool::drop(const connection &it)
{
    const auto found = std::find(all_.begin(), all_.end(), it);
    it->abandon();
    if (found == all_.end())
        return;
    all_.erase(found);
    open_for_waiting();
}

std::size_t instance_pool::opening() const
{
    return static_cast<std::size_t>(
        std::count_if(all_.begin(), all_.end(), [](const auto &it) { return !it->is_open(); }));
}

std::size_t instance_pool::opening(const std::string &workspace) const
{
    return static_cast<std::size_t>(std::count_if(all_.begin(), all_.end(), [&workspace](const auto &it) {
        return !it->is_open() && it->workspace == workspace;
    }));
}

const instance_pool::waiter *instance_pool::next_to_open() const
{
    std::map<std::string, std::size_t> waiting;
    const waiter *out = nullptr;
    for (const auto &it : waiting_) {
        const bool more_urgent = !out || it.request.priority < out->request.priority;
        if (++waiting[it.request.workspace] > opening(it.request.workspace) && more_urgent)
            out = &it;
    }
    return out;
}

bool instance_pool::close_unneeded()
{
    const auto needed = [this](const std::string &workspace) {
        return std::any_of(waiting_.begin(), waiting_.end(),
                           [&workspace](const auto &it) { return it.request.workspace == workspace; });
    };
    // Connections are added when they become idle, so the first is idle for longest.
    const auto found = std::find_if(idle_.begin(), idle_.end(),
                                    [&needed](const auto &it) { return !needed(it.upstream->workspace); });
    if (found == idle_.end())
        return false;
    const auto closed = found->upstream;
    idle_.erase(found);
    closed->abandon();
    all_.erase(std::remove(all_.begin(), all_.end(), closed), all_.end());
    return true;
}

void instance_pool::open_for_waiting()
{
    if (retired_ || limit_ == 0 || waiting_.empty() || !reachable(clock_type::now()))
        return;
    const auto *const next = next_to_open();
    if (!next || (all_.size() >= refused_above_ && opening() > 0))
        return;
    if (all_.size() >= std::min<std::size_t>(limit_, refused_above_) && !close_unneeded() &&
        all_.size() >= limit_)
        return;
    auto target = target_;
    if (!next->request.workspace.empty())
        target.caller = next->request.workspace;
    auto it = std::make_shared<upstream_connection>(base_, std::move(target));
    it->workspace = next->request.workspace;
    it->number = ++last_connection_number_;
    health_.requested();
    all_.push_back(it);
    auto *const raw = it.get();
    const std::weak_ptr<instance_pool> weak = weak_from_this();
    it->open({[weak, raw] {
                  const auto me = weak.lock();
                  if (!me)
                      return;
                  me->health_.answered();
                  me->limit_delay_ = retry_after_failure;
                  me->refused_above_ = std::max(me->refused_above_, me->all_.size());
                  me->idle_.push_back({raw->shared_from_this(), clock_type::now()});
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
    const auto found =
        std::find_if(all_.begin(), all_.end(), [which](const auto &it) { return it.get() == which; });
    if (found == all_.end())
        return;
    const auto kept = *found; // keeps the object alive until this function returns
    all_.erase(found);
    const auto idle = std::find_if(idle_.begin(), idle_.end(),
                                   [which](const auto &it) { return it.upstream.get() == which; });
    if (idle != idle_.end())
        idle_.erase(idle);
    if (!kept->was_open())
        retry_at_ = clock_type::now() + retry_after_failure;
    if (refusal && refusal->code == session::answer_code::connection_limit) {
        health_.answered(); // it is responsive; other processes use all its connections
        record_limit_refusal(clock_type::now());
    } else
        health_.failed(refusal ? "refused with " + std::string(platform::code_word(refusal->code)) + ' ' +
                                     refusal->text
                               : "connection lost",
                       kept->is_absent());
    if (all_.empty())
        refuse_waiting(acquire_failure::unreachable);
}

void instance_pool::record_limit_refusal(time_point now)
{
    refused_above_ = all_.size();
    retry_at_ = now + limit_delay_;
    limit_delay_ = std::min(limit_delay_ * 2, longest_limit_delay);
}

void instance_pool::serve_waiting()
{
    // After a suspension of the process, sockets are handled before timers: requests may have expired.
    refuse_expired(clock_type::now());
    for (;;) {
        auto next = waiting_.end();
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
            const bool more_urgent = next == waiting_.end() || it->request.priority < next->request.priority;
            if (more_urgent && has_idle(it->request.workspace))
                next = it;
        }
        if (next == waiting_.end())
            return;
        auto chosen = std::move(*next);
        waiting_.erase(next);
        chosen.done(pop_idle(chosen.request), std::nullopt);
    }
}

bool instance_pool::has_idle(const std::string &workspace) const
{
    return std::any_of(idle_.begin(), idle_.end(), [&workspace](const auto &it) {
        return it.upstream->workspace == workspace && !it.upstream->is_closed();
    });
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
    std::erase_if(idle_, [](const auto &it) { return it.upstream->is_closed(); });
    auto chosen = idle_.end();
    for (auto it = idle_.begin(); it != idle_.end(); ++it) {
        if (it->upstream->workspace != request.workspace)
            continue;
        chosen = it;
        if (request.values && it->upstream->session_state.values() == *request.values)
            break;
    }
    if (chosen == idle_.end())
        return nullptr;
    auto out = chosen->upstream;
    idle_.erase(chosen);
    return out;
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

void instance_pool::tick(time_point now)
{
    refuse_expired(now);
    std::vector<connection> idle_too_long;
    for (std::size_t n = 0; n < idle_.size(); ++n) {
        const bool of_workspace = !idle_[n].upstream->workspace.empty();
        if (now - idle_[n].since > (of_workspace ? workspace_idle_time : idle_time))
            idle_too_long.push_back(idle_[n].upstream);
    }
    for (const auto &it : idle_too_long) {
        std::erase_if(idle_, [&it](const auto &idle) { return idle.upstream == it; });
        drop(it);
    }
    end_slow_attempts(now);
    end_unresponsive(now);
    open_for_waiting();
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
    all_.erase(slow);
    retry_at_ = now + retry_after_failure;
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
    for (const auto &it : unresponsive)
        it->end_without_answer();
}

void instance_pool::retire()
{
    retired_ = true;
    auto idle = std::move(idle_);
    idle_.clear();
    for (const auto &it : idle)
        drop(it.upstream);
    refuse_waiting(acquire_failure::unreachable);
}

} // namespace baobabport::proxy
