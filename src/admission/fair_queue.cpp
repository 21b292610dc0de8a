#include "admission/fair_queue.h"

#include <algorithm>

namespace baobabport::admission {

using std::chrono::microseconds;

namespace {

double to_tag(microseconds time)
{
    return static_cast<double>(time.count());
}

microseconds from_tag(double tag)
{
    return microseconds(static_cast<std::int64_t>(tag));
}

} // namespace

std::size_t fair_queue::level_of(document::priority_kind priority)
{
    return std::min(static_cast<std::size_t>(priority), levels - 1);
}

fair_queue::flow_key fair_queue::key_of(const flow &it, const std::string &workspace)
{
    return {it.tag, it.order, workspace};
}

fair_queue::flow &fair_queue::flow_of(level &in, const std::string &workspace)
{
    const auto [it, is_new] = in.flows.try_emplace(workspace);
    if (is_new) {
        it->second.tag = in.virtual_time;
        in.idle.insert(key_of(it->second, workspace));
    }
    return it->second;
}

void fair_queue::set_tag(level &in, const std::string &workspace, double tag)
{
    auto &it = in.flows.at(workspace);
    auto &keys = it.waiting.empty() ? in.idle : in.waiting;
    keys.erase(key_of(it, workspace));
    it.tag = tag;
    keys.insert(key_of(it, workspace));
}

void fair_queue::forget_idle(level &in)
{
    while (!in.idle.empty() && std::get<double>(*in.idle.begin()) <= in.virtual_time) {
        in.flows.erase(std::get<std::string>(*in.idle.begin()));
        in.idle.erase(in.idle.begin());
    }
}

bool fair_queue::push(const queued_request &request, const document::limit_policy &limits)
{
    if (length() + 1 > limits.queue_length || bytes_ + request.bytes > limits.queue_bytes)
        return false;
    const auto number = level_of(request.priority);
    auto &in = levels_.at(number);
    auto &it = flow_of(in, request.workspace);
    const position at{request.holds_connection ? 0 : 1, ++last_order_};
    if (it.waiting.empty()) {
        in.idle.erase(key_of(it, request.workspace));
        it.tag = std::max(it.tag, in.virtual_time);
        it.order = last_order_;
        in.waiting.insert(key_of(it, request.workspace));
    }
    it.waiting.emplace(at, request);
    it.work += request.cost;
    in.work += request.cost;
    in.by_age.emplace(request.enqueued_at, request.key);
    index_[request.key] = {number, request.workspace, at};
    by_deadline_.emplace(request.deadline, request.key);
    bytes_ += request.bytes;
    return true;
}

queued_request fair_queue::remove(std::uint64_t key)
{
    const auto known = index_.find(key);
    const auto where = known->second;
    index_.erase(known);
    auto &in = levels_.at(where.level);
    auto &it = in.flows.at(where.workspace);
    const auto found = it.waiting.find(where.at);
    auto out = std::move(found->second);
    if (it.waiting.size() == 1) {
        in.waiting.erase(key_of(it, where.workspace));
        in.idle.insert(key_of(it, where.workspace));
    }
    it.waiting.erase(found);
    it.work -= out.cost;
    in.work -= out.cost;
    in.by_age.erase({out.enqueued_at, key});
    by_deadline_.erase({out.deadline, key});
    bytes_ -= out.bytes;
    return out;
}

std::optional<fair_queue::popped_request>
fair_queue::pop(const readiness_check &check, const document::limit_policy &limits, time_point now)
{
    if (popped_since_aged_ + 1 >= request_queue::requests_per_aged) {
        if (auto found = pop_aged(check, now - limits.ageing, now)) {
            popped_since_aged_ = 0;
            return found;
        }
    }
    for (auto &it : levels_) {
        if (auto found = pop_from(it, check, now)) {
            ++popped_since_aged_;
            return found;
        }
    }
    return std::nullopt;
}

std::optional<fair_queue::popped_request> fair_queue::pop_aged(const readiness_check &check,
                                                               time_point enqueued_before, time_point now)
{
    // Age decides between priorities only; within one, it would favour the workspace with the longest queue.
    std::vector<level *> by_age;
    for (auto &it : levels_) {
        if (!it.by_age.empty() && it.by_age.begin()->first < enqueued_before)
            by_age.push_back(&it);
    }
    std::sort(by_age.begin(), by_age.end(),
              [](const auto *a, const auto *b) { return *a->by_age.begin() < *b->by_age.begin(); });
    for (auto *const it : by_age) {
        if (auto found = pop_from(*it, check, now))
            return found;
    }
    return std::nullopt;
}

std::optional<fair_queue::popped_request> fair_queue::pop_from(level &from, const readiness_check &check,
                                                               time_point now)
{
    std::optional<std::uint64_t> chosen;
    double tag = 0;
    std::size_t ties = 0;
    for (const auto &[at, order, workspace] : from.waiting) {
        if (chosen && (at > tag || ++ties >= tie_depth))
            break;
        const auto &it = from.flows.at(workspace);
        // After a suspension of this process, requests may have expired whose callers do not wait any more.
        const auto next = std::find_if(it.waiting.begin(), it.waiting.end(),
                                       [now](const auto &request) { return request.second.deadline > now; });
        if (next == it.waiting.end())
            continue;
        const bool holds = next->second.holds_connection;
        const auto state = holds ? readiness::ready : check(workspace, it.waiting.size());
        if (state == readiness::not_now)
            continue;
        if (state == readiness::ready)
            return serve(from, next->second.key, false);
        if (!chosen) {
            chosen = next->second.key;
            tag = at;
        }
    }
    if (!chosen)
        return std::nullopt;
    return serve(from, *chosen, true);
}

fair_queue::popped_request fair_queue::serve(level &from, std::uint64_t key, bool opens_connection)
{
    popped_request out{remove(key), opens_connection};
    const auto &workspace = out.request.workspace;
    out.request.cost += (opens_connection ? opening_cost_ : microseconds(0)) - out.request.opening_cost;
    const auto start = from.flows.at(workspace).tag;
    from.virtual_time = std::max(from.virtual_time, start);
    set_tag(from, workspace, start + to_tag(out.request.cost));
    forget_idle(from);
    return out;
}

void fair_queue::charge_start(document::priority_kind priority, const std::string &workspace,
                              microseconds cost)
{
    auto &in = levels_.at(level_of(priority));
    const auto start = std::max(flow_of(in, workspace).tag, in.virtual_time);
    // With nobody waiting, the virtual time follows the statements that start.
    if (in.waiting.empty())
        in.virtual_time = start;
    set_tag(in, workspace, start + to_tag(cost));
    forget_idle(in);
}

void fair_queue::correct(document::priority_kind priority, const std::string &workspace,
                         microseconds difference)
{
    auto &in = levels_.at(level_of(priority));
    const auto it = in.flows.find(workspace);
    if (it != in.flows.end())
        set_tag(in, workspace, it->second.tag + to_tag(difference));
}

std::vector<queued_request> fair_queue::pop_expired(time_point now)
{
    std::vector<queued_request> out;
    while (!by_deadline_.empty() && by_deadline_.begin()->first <= now)
        out.push_back(remove(by_deadline_.begin()->second));
    return out;
}

std::vector<queued_request> fair_queue::pop_late(const lateness_check &is_late)
{
    std::vector<queued_request> out;
    for (auto &in : levels_) {
        std::vector<std::string> names;
        for (const auto &it : in.waiting)
            names.push_back(std::get<std::string>(it));
        for (const auto &name : names) {
            const auto &waiting = in.flows.at(name).waiting;
            while (!waiting.empty()) {
                const auto &last = waiting.rbegin()->second;
                const auto ahead = slot_time_ahead(last.priority, name) - last.cost;
                if (last.holds_connection || !is_late(last, ahead))
                    break;
                out.push_back(remove(last.key));
            }
        }
    }
    return out;
}

microseconds fair_queue::slot_time_ahead(document::priority_kind priority, const std::string &workspace) const
{
    microseconds out(0);
    const auto own_level = level_of(priority);
    for (std::size_t n = 0; n < own_level; ++n)
        out += levels_.at(n).work;
    const auto &in = levels_.at(own_level);
    const auto own = in.flows.find(workspace);
    const auto own_tag = own == in.flows.end() ? in.virtual_time : std::max(own->second.tag, in.virtual_time);
    const auto start = own_tag + (own == in.flows.end() ? 0 : to_tag(own->second.work));
    for (const auto &[tag, order, name] : in.waiting) {
        if (tag >= start)
            break;
        const auto &it = in.flows.at(name);
        out += name == workspace ? it.work : std::min(it.work, from_tag(start - tag));
    }
    return out;
}

std::size_t fair_queue::waiting_of(document::priority_kind priority, const std::string &workspace) const
{
    const auto &flows = levels_.at(level_of(priority)).flows;
    const auto it = flows.find(workspace);
    return it == flows.end() ? 0 : it->second.waiting.size();
}

} // namespace baobabport::admission
