#include "consistency/group_view.h"

#include <algorithm>

namespace baobabport::consistency {

namespace {

constexpr std::size_t max_samples = 256;
constexpr std::chrono::milliseconds min_sample_interval{5};

} // namespace

group_view::group_view(std::size_t instances) : instances_(instances) {}

void group_view::observe(instance_id instance, const instance_status &status, time_point requested_at)
{
    auto &it = instances_[instance];
    highest_term_ = std::max(highest_term_, status.promised_term);
    if (it.answered && requested_at < it.requested_at && status.promised_term <= it.status.promised_term) {
        // The instance had this position at some time, which remains valid for its term.
        it.status.log = std::max(it.status.log, status.log);
        return;
    }
    it.status = status;
    it.requested_at = std::max(it.requested_at, requested_at);
    it.answered = true;
    sample_primary(instance, requested_at);
}

void group_view::observe_position(instance_id instance, position log, time_point requested_at)
{
    auto &it = instances_[instance];
    highest_term_ = std::max(highest_term_, log.term);
    it.status.log = std::max(it.status.log, log);
    sample_primary(instance, requested_at);
}

void group_view::sample_primary(instance_id instance, time_point requested_at)
{
    if (primary() != instance)
        return;
    const auto log = instances_[instance].status.log;
    if (!samples_.empty()) {
        auto &last = samples_.back();
        if (log < last.log)
            return;
        if (log == last.log) {
            last.requested_at = std::max(last.requested_at, requested_at);
            return;
        }
        if (requested_at < last.requested_at + min_sample_interval)
            return;
    }
    samples_.push_back({requested_at, log});
    if (samples_.size() > max_samples)
        samples_.pop_front();
}

std::optional<instance_id> group_view::primary() const
{
    std::optional<instance_id> found;
    for (instance_id it = 0; it < instances_.size(); ++it) {
        const auto &status = instances_[it].status;
        if (status.role != instance_role::primary)
            continue;
        if (!found || status.promised_term > instances_[*found].status.promised_term)
            found = it;
    }
    return found;
}

std::uint64_t group_view::primary_term() const
{
    const auto found = primary();
    return found ? instances_[*found].status.promised_term : 0;
}

std::optional<position> group_view::durable_position(std::uint64_t term) const
{
    std::vector<position> logs;
    for (const auto &it : instances_) {
        if (it.status.log.term == term)
            logs.push_back(it.status.log);
    }
    if (logs.size() < majority())
        return std::nullopt;
    std::sort(logs.begin(), logs.end(), std::greater<>());
    return logs[majority() - 1];
}

bool group_view::confirmed_since(std::uint64_t term, time_point since) const
{
    std::size_t n = 0;
    for (const auto &it : instances_) {
        if (it.answered && it.requested_at >= since && it.status.promised_term <= term)
            ++n;
    }
    return n >= majority();
}

std::optional<time_point> group_view::last_answer(instance_id instance) const
{
    if (!instances_[instance].answered)
        return std::nullopt;
    return instances_[instance].requested_at;
}

std::optional<std::chrono::milliseconds> group_view::staleness(instance_id instance, time_point now) const
{
    const auto log = instances_[instance].status.log;
    const auto it = std::find_if(samples_.rbegin(), samples_.rend(),
                                 [&](const auto &sample) { return sample.log <= log; });
    if (it == samples_.rend())
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(now - it->requested_at);
}

std::chrono::milliseconds group_view::proven_lag(instance_id instance) const
{
    const auto &it = instances_[instance];
    const auto missing = std::find_if(samples_.begin(), samples_.end(),
                                      [&](const auto &sample) { return sample.log > it.status.log; });
    if (missing == samples_.end() || missing->requested_at >= it.requested_at)
        return std::chrono::milliseconds(0);
    return std::chrono::floor<std::chrono::milliseconds>(it.requested_at - missing->requested_at);
}

} // namespace baobabport::consistency
