#include "failover/failover_controller.h"

#include "failover/term_number.h"

#include <algorithm>
#include <utility>

namespace baobabport::failover {

using home::command_kind;
using home::command_outcome;

namespace {

constexpr std::chrono::milliseconds partitioned_time{1000};

} // namespace

failover_controller::failover_controller(std::string database, std::size_t instances, std::uint32_t vm_number,
                                         std::uint64_t seed)
    : database_(std::move(database)), vm_number_(vm_number), random_(seed), leaving_(instances, false)
{
}

failover_step failover_controller::step(const group_view &group, const std::vector<instance_health> &health,
                                        const std::vector<bool> &leaving, bool may_switch_over,
                                        const document::failover_policy &policy, time_point now)
{
    failover_step out;
    leaving_ = leaving;
    switch (phase_) {
    case phase::steady:
        if (needs_replacement(group, health, leaving, may_switch_over, policy, now))
            begin_peer_query(group, policy, now, out);
        break;
    case phase::querying_peer:
        if (unreachable_for_peer_ || now >= phase_until_)
            begin_fencing(group, policy, now, out);
        break;
    case phase::fencing:
        if (higher_term_promised_)
            begin_waiting(policy, now, "outbid_while_fencing");
        else if (fenced_.size() >= (defects.fence_one ? 1 : group.majority()))
            begin_promoting(group, policy, now, out);
        else if (now >= phase_until_)
            begin_waiting(policy, now, "no_majority_fenced");
        break;
    case phase::promoting:
        if (promote_accepted_)
            finish_promotion(out);
        else if (higher_term_promised_)
            begin_waiting(policy, now, "outbid_while_promoting");
        else if (now >= phase_until_)
            begin_waiting(policy, now, "promotion_unanswered");
        break;
    case phase::waiting:
        if (now >= phase_until_)
            phase_ = phase::steady;
        break;
    }
    return out;
}

bool failover_controller::needs_replacement(const group_view &group,
                                            const std::vector<instance_health> &health,
                                            const std::vector<bool> &leaving, bool may_switch_over,
                                            const document::failover_policy &policy, time_point now)
{
    switching_over_ = false;
    const auto reachable = std::count_if(health.begin(), health.end(), [&](const auto &it) {
        return it.last_answer() && !it.is_failed(policy, now);
    });
    const auto primary = group.primary();
    const bool primary_is_current = primary && group.primary_term() >= group.highest_term();
    if (primary_is_current)
        no_current_primary_since_.reset();
    else if (!no_current_primary_since_)
        no_current_primary_since_ = now;

    // Without a majority no instance can be promoted, and fencing would only stop the instances that still
    // serve.
    if (static_cast<std::size_t>(reachable) < group.majority())
        return false;
    if (primary && health[*primary].is_failed(policy, now)) {
        last_reason_ = "primary_unreachable";
        return true;
    }
    if (no_current_primary_since_ && now - *no_current_primary_since_ >= policy.silent_after) {
        last_reason_ = "no_primary_of_highest_term";
        return true;
    }
    if (primary_is_current && leaving[*primary]) {
        switching_over_ = std::count(leaving.begin(), leaving.end(), false) > 0;
        if (switching_over_ && switchover_is_ready(group, health, leaving, *primary, may_switch_over)) {
            last_reason_ = "primary_leaving";
            return true;
        }
    }
    return false;
}

bool failover_controller::switchover_is_ready(const group_view &group,
                                              const std::vector<instance_health> &health,
                                              const std::vector<bool> &leaving, instance_id primary,
                                              bool may_switch_over) const
{
    if (!may_switch_over)
        return false;
    for (instance_id it = 0; it < group.size(); ++it) {
        if (it != primary && !leaving[it] && health[it].healthy() &&
            group.log_of(it) >= group.log_of(primary))
            return true;
    }
    return false;
}

void failover_controller::begin_peer_query(const group_view &group, const document::failover_policy &policy,
                                           time_point now, failover_step &out)
{
    const auto primary = group.primary();
    if (!primary || last_reason_ != "primary_unreachable") {
        begin_fencing(group, policy, now, out);
        return;
    }
    phase_ = phase::querying_peer;
    unreachable_for_peer_ = false;
    phase_until_ = now + policy.command_timeout;
    out.peer_query = inner::view_request{database_, *primary};
}

void failover_controller::begin_fencing(const group_view &group, const document::failover_policy &policy,
                                        time_point now, failover_step &out)
{
    phase_ = phase::fencing;
    term_ = defects.reuse_term ? group.highest_term()
                               : next_term(std::max(group.highest_term(), term_), vm_number_);
    fenced_.clear();
    higher_term_promised_ = false;
    promote_accepted_ = false;
    phase_until_ = now + policy.command_timeout;
    if (defects.skip_fence) {
        for (instance_id it = 0; it < group.size(); ++it) {
            if (it != group.primary())
                fenced_.push_back({it, group.log_of(it)});
        }
        return;
    }
    for (instance_id it = 0; it < group.size(); ++it)
        out.commands.push_back({command_kind::fence, it, term_, {}, policy.command_timeout, 0});
}

void failover_controller::begin_promoting(const group_view &group, const document::failover_policy &policy,
                                          time_point now, failover_step &out)
{
    const auto best = best_candidate();
    if (!best) {
        begin_waiting(policy, now, "no_candidate");
        return;
    }
    candidate_ = *best;
    phase_ = phase::promoting;
    phase_until_ = now + policy.command_timeout;
    (void)group;
    out.commands.push_back(
        {command_kind::promote, candidate_.instance, term_, {}, policy.command_timeout, 0});
}

void failover_controller::finish_promotion(failover_step &out)
{
    out.promoted = failover_step::promotion{candidate_.instance, term_, candidate_.log};
    phase_ = phase::steady;
    switching_over_ = false;
    no_current_primary_since_.reset();
}

void failover_controller::begin_waiting(const document::failover_policy &policy, time_point now,
                                        std::string reason)
{
    phase_ = phase::waiting;
    last_reason_ = std::move(reason);
    phase_until_ = now + jitter(policy.command_timeout);
}

void failover_controller::handle_answer(const home::command_result &result, time_point now)
{
    (void)now;
    const auto &command = result.command;
    if (command.term != term_ || result.outcome != command_outcome::answered)
        return;
    if (!result.accepted) {
        higher_term_promised_ = higher_term_promised_ || result.status.promised_term > term_;
        return;
    }
    if (command.kind == command_kind::promote && phase_ == phase::promoting) {
        promote_accepted_ = true;
        return;
    }
    if (command.kind != command_kind::fence || phase_ != phase::fencing)
        return;
    const bool already_fenced = std::any_of(fenced_.begin(), fenced_.end(),
                                            [&](const auto &it) { return it.instance == command.instance; });
    if (!already_fenced)
        fenced_.push_back({command.instance, result.status.log});
}

void failover_controller::handle_answer(const inner::view_answer &answer,
                                        const document::failover_policy &policy, time_point now)
{
    if (phase_ != phase::querying_peer)
        return;
    if (!answer.primary_reachable) {
        unreachable_for_peer_ = true;
        return;
    }
    partitioned_until_ = now + partitioned_time;
    begin_waiting(policy, now, "peer_reaches_primary");
}

std::optional<failover_controller::fenced_log> failover_controller::best_candidate() const
{
    if (fenced_.empty())
        return std::nullopt;
    if (defects.promote_any)
        return fenced_.front();
    auto best = fenced_.front();
    for (const auto &it : fenced_) {
        const bool same_position = it.log == best.log;
        if (is_ahead(it, best) || (same_position && leaving_[best.instance] && !leaving_[it.instance]))
            best = it;
    }
    return best;
}

bool failover_controller::is_ahead(const fenced_log &a, const fenced_log &b) const
{
    if (defects.compare_offsets)
        return a.log.offset > b.log.offset;
    return a.log > b.log;
}

std::chrono::milliseconds failover_controller::jitter(std::chrono::milliseconds range)
{
    std::uniform_int_distribution<std::int64_t> pick(range.count() / 2, range.count() * 2);
    return std::chrono::milliseconds(pick(random_));
}

} // namespace baobabport::failover
