#include "home/connection_pool.h"

#include <algorithm>

namespace baobabport::home {

namespace {

/// Connections opened beyond the slots, so that a transaction finds an idle one.
constexpr std::uint32_t spare_connections = 1;
constexpr std::uint32_t max_opening = 2;
constexpr std::chrono::milliseconds first_backoff{25};
constexpr std::uint32_t max_backoff_steps = 5;

} // namespace

connection_pool::connection_pool(std::size_t instances, std::uint32_t slots, std::uint32_t limit)
    : opening_(instances), slots_(slots), limit_(limit)
{
}

std::vector<connection_pool::connection> connection_pool::open_missing(const std::vector<bool> &may_open,
                                                                       time_point now)
{
    std::vector<connection> out;
    for (instance_id instance = 0; instance < opening_.size(); ++instance) {
        if (!may_open[instance] || now < opening_[instance].not_before)
            continue;
        std::uint32_t total = 0;
        std::uint32_t opening = 0;
        std::uint32_t in_transaction = 0;
        for (const auto &[id, it] : connections_) {
            if (it.instance != instance)
                continue;
            ++total;
            opening += it.state == state_kind::opening ? 1 : 0;
            in_transaction += it.in_transaction ? 1 : 0;
        }
        const auto wanted = std::min(limit_, slots_ + spare_connections + in_transaction);
        const auto opening_limit = opening_[instance].failures > 0 ? 1 : max_opening;
        while (total < wanted && opening < opening_limit) {
            connection it{next_id_++, instance, state_kind::opening, 0, now, false, false};
            connections_.emplace(it.id, it);
            out.push_back(it);
            ++total;
            ++opening;
        }
    }
    return out;
}

void connection_pool::opened(connection_id id, time_point now)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    it->second.state = state_kind::idle;
    it->second.since = now;
    opening_[it->second.instance] = {};
}

void connection_pool::open_failed(connection_id id, time_point now)
{
    const auto removed = remove(id);
    if (!removed)
        return;
    auto &state = opening_[removed->instance];
    state.not_before = now + first_backoff * (1U << state.failures);
    state.failures = std::min(state.failures + 1, max_backoff_steps);
}

std::optional<connection_pool::connection> connection_pool::remove(connection_id id)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
        return std::nullopt;
    const auto out = it->second;
    connections_.erase(it);
    return out;
}

std::optional<connection_id> connection_pool::idle(instance_id instance) const
{
    for (const auto &[id, it] : connections_) {
        if (it.instance == instance && it.state == state_kind::idle)
            return id;
    }
    return std::nullopt;
}

const connection_pool::connection *connection_pool::find(connection_id id) const
{
    const auto it = connections_.find(id);
    return it == connections_.end() ? nullptr : &it->second;
}

void connection_pool::begin_call(connection_id id, call_id call, bool long_statement, time_point now)
{
    auto &it = connections_.at(id);
    it.state = state_kind::busy;
    it.call = call;
    it.long_statement = long_statement;
    it.since = now;
}

void connection_pool::end_call(connection_id id, time_point now)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    it->second.state = it->second.in_transaction ? state_kind::pinned : state_kind::idle;
    it->second.call = 0;
    it->second.long_statement = false;
    it->second.since = now;
}

void connection_pool::abandon(connection_id id, time_point now)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    it->second.state = state_kind::abandoned;
    it->second.since = now;
}

std::vector<connection_id>
connection_pool::connections_to_close(std::chrono::milliseconds abandoned_call_timeout, time_point now) const
{
    std::vector<connection_id> out;
    for (const auto &[id, it] : connections_) {
        if (it.state == state_kind::abandoned && now - it.since >= abandoned_call_timeout)
            out.push_back(id);
        if (it.state == state_kind::idle && count(it.instance) > limit_)
            out.push_back(id);
    }
    return out;
}

std::vector<connection_pool::connection> connection_pool::of_instance(instance_id instance) const
{
    std::vector<connection> out;
    for (const auto &[id, it] : connections_) {
        if (it.instance == instance)
            out.push_back(it);
    }
    return out;
}

std::uint32_t connection_pool::running(instance_id instance) const
{
    std::uint32_t n = 0;
    for (const auto &[id, it] : connections_) {
        const bool in_use = it.state == state_kind::busy || it.state == state_kind::abandoned;
        n += it.instance == instance && in_use ? 1 : 0;
    }
    return n;
}

std::uint32_t connection_pool::long_running(instance_id instance) const
{
    std::uint32_t n = 0;
    for (const auto &[id, it] : connections_)
        n += it.instance == instance && it.long_statement ? 1 : 0;
    return n;
}

std::uint32_t connection_pool::count(instance_id instance) const
{
    std::uint32_t n = 0;
    for (const auto &[id, it] : connections_)
        n += it.instance == instance ? 1 : 0;
    return n;
}

} // namespace baobabport::home
