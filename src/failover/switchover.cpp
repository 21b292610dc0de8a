#include "failover/switchover.h"

#include <algorithm>

namespace baobabport::failover {

using consistency::instance_role;

namespace {

const member_view *find(const group_snapshot &group, const std::string &id)
{
    const auto it = std::find_if(group.members.begin(), group.members.end(),
                                 [&id](const auto &member) { return member.id == id; });
    return it == group.members.end() ? nullptr : &*it;
}

/// Returns true if the instance does not run: it refuses connections, or is no longer listed.
bool is_gone(const group_snapshot &group, const std::string &id)
{
    const auto *const member = find(group, id);
    return !member || member->refuses;
}

/// Returns the latest term that the primary or a replica is known to have reached.
std::uint64_t latest_term(const group_snapshot &group)
{
    auto out = group.term;
    for (const auto &it : group.members) {
        if (it.report)
            out = std::max(out, it.report->term);
    }
    return out;
}

bool is_primary_above(const member_view &it, std::uint64_t above_term)
{
    return it.report && it.report->role == instance_role::primary && it.report->term > above_term;
}

} // namespace

std::vector<action> switchover::step(const group_snapshot &group, time_point now)
{
    switch (phase_) {
    case phase::idle:
        return step_idle(group, now);
    case phase::pausing:
        return step_pausing(group, now);
    case phase::promoting:
        return step_promoting(group, now);
    case phase::awaiting_primary:
        return step_awaiting_primary(group, now);
    case phase::settling:
        return step_settling(group, now);
    }
    return {};
}

std::vector<action> switchover::step_idle(const group_snapshot &group, time_point now)
{
    // The time without a primary is measured even while a replacement is not allowed yet.
    const bool replacement_due = should_replace(group, now);
    if (now < retry_at_ || !group.may_replace)
        return {};
    if (!replacement_due)
        return resume_orphans(group, now);
    begin(group, now);
    return step_pausing(group, now);
}

bool switchover::should_replace(const group_snapshot &group, time_point now)
{
    const bool has_replica =
        std::any_of(group.members.begin(), group.members.end(),
                    [&group](const auto &it) { return group.primary != it.id && it.report && !it.leaving; });
    const auto *const primary = group.primary ? find(group, *group.primary) : nullptr;
    if (!has_replica)
        return false;
    const bool is_latest = primary && latest_term(group) == group.term;
    if (is_latest)
        no_primary_since_.reset();
    else if (!no_primary_since_)
        no_primary_since_ = now;
    if (!is_latest && (!primary || now - *no_primary_since_ >= no_primary_limit)) {
        last_reason_ = primary ? "the primary of the latest term is lost" : "no primary is known";
        return now - *no_primary_since_ >= no_primary_limit;
    }
    // Until the leases have ended, writes are acknowledged that paused replicas would not receive.
    if (primary->leaving && group.leases_ended) {
        last_reason_ = "the primary is leaving";
        return true;
    }
    if (primary->refuses && primary->unresponsive_for >= refusal_limit) {
        last_reason_ = "the primary refuses connections";
        return true;
    }
    last_reason_ = "the primary does not answer";
    return primary->unresponsive_for >= unresponsive_limit;
}

void switchover::begin(const group_snapshot &group, time_point now)
{
    former_term_ = latest_term(group);
    former_primary_ = former_term_ == group.term ? group.primary.value_or("") : "";
    pause_term_ = former_term_ + 1;
    for (const auto &it : group.members) {
        if (it.report)
            pause_term_ = std::max(pause_term_, it.report->paused_at + 1);
    }
    paused_.clear();
    absent_candidates_.clear();
    candidate_.clear();
    candidate_reported_absent_ = false;
    order_may_take_effect_ = false;
    enter(phase::pausing, now);
}

std::vector<action> switchover::step_pausing(const group_snapshot &group, time_point now)
{
    // Checked first: after a suspension of this process the reports of pauses are outdated.
    if (now - entered_at_ >= pause_limit)
        return abandon_replacement("a replica could not be paused", now);
    if (group.leases_ended && enough_paused(group, now)) {
        candidate_ = most_advanced(group);
        if (candidate_.empty())
            return abandon_replacement("no instance can be promoted", now);
        enter(phase::promoting, now);
        return step_promoting(group, now);
    }
    if (!repeat_due(now))
        return {};
    std::vector<action> out;
    for (const auto &it : group.members) {
        if (it.id == former_primary_ || paused_.count(it.id))
            continue;
        // Only a replica can be paused.
        if (it.report && it.report->role == instance_role::primary && it.report->term < former_term_)
            out.push_back({action_kind::step_down, it.id, former_term_});
        out.push_back({action_kind::pause, it.id, pause_term_});
    }
    return out;
}

bool switchover::enough_paused(const group_snapshot &group, time_point now) const
{
    const auto *const former = find(group, former_primary_);
    const bool former_is_down = former && former->refuses; // an unlisted one may serve other processes
    for (const auto &it : group.members) {
        if (it.id == former_primary_ || paused_.count(it.id))
            continue;
        // A former primary that refuses connections cannot serve any process. A replica that does is not
        // running: it neither receives commits nor confirms any.
        const bool dispensable = (former_is_down || it.refuses) && now - entered_at_ >= pause_limit / 2;
        if (!dispensable)
            return false;
    }
    return !paused_.empty() && enough_compared(group);
}

bool switchover::enough_compared(const group_snapshot &group) const
{
    // Each acknowledged commit is in the logs of `sync_replicas` instances besides the former primary. All of
    // them may be among those that were not compared.
    const auto not_compared =
        std::count_if(group.members.begin(), group.members.end(),
                      [this](const auto &it) { return it.id != former_primary_ && !paused_.count(it.id); });
    return group.sync_replicas == 0 || not_compared < static_cast<std::ptrdiff_t>(group.sync_replicas);
}

bool switchover::is_absent(const std::string &id) const
{
    return std::find(absent_candidates_.begin(), absent_candidates_.end(), id) != absent_candidates_.end();
}

std::string switchover::most_advanced(const group_snapshot &group) const
{
    std::string out;
    consistency::position best;
    for (const auto &[id, report] : paused_) {
        if (is_absent(id) || (!out.empty() && report.received <= best))
            continue;
        out = id;
        best = report.received;
    }
    // An instance that is absent but still listed may come back with commits that only it has.
    const bool lacks_commits = group.sync_replicas > 0 &&
                               std::any_of(group.members.begin(), group.members.end(), [&](const auto &it) {
                                   return is_absent(it.id) && paused_.at(it.id).received > best;
                               });
    return lacks_commits ? "" : out;
}

bool switchover::may_abandon(const group_snapshot &group) const
{
    if (!order_may_take_effect_)
        return true;
    const auto *const candidate = find(group, candidate_);
    return candidate && candidate->report && candidate->report->role == instance_role::replica &&
           candidate->unresponsive_for < repeat_interval;
}

std::vector<action> switchover::step_promoting(const group_snapshot &group, time_point now)
{
    if (order_in_flight_)
        return {};
    if (candidate_reported_absent_ && (!order_may_take_effect_ || is_gone(group, candidate_))) {
        replace_absent_candidate(group, now);
        if (phase_ != phase::promoting)
            return {};
    }
    if (now - entered_at_ >= promotion_limit && may_abandon(group))
        return abandon_replacement("the platform accepted no promotion order", now);
    if (const auto *const candidate = find(group, candidate_);
        candidate && is_primary_above(*candidate, former_term_)) {
        enter(phase::settling, now); // the order took effect without an answer
        return step_settling(group, now);
    }
    if (!repeat_due(now))
        return {};
    order_in_flight_ = true;
    std::vector<action> out{{action_kind::promote, candidate_, 0}};
    if (order_may_take_effect_)
        out.push_back({action_kind::probe, candidate_, 0});
    return out;
}

void switchover::record_pause(const std::string &id, const replication::member_report &report)
{
    if (phase_ == phase::pausing && report.paused_at == pause_term_)
        paused_[id] = report;
}

void switchover::record_promotion_result(promotion_result result, time_point now)
{
    order_in_flight_ = false;
    if (phase_ != phase::promoting)
        return;
    if (result == promotion_result::accepted || result == promotion_result::uncertain)
        order_may_take_effect_ = true;
    if (result == promotion_result::not_sent)
        repeated_at_ = {};
    if (result == promotion_result::accepted) {
        enter(phase::awaiting_primary, now);
    } else if (result == promotion_result::absent) {
        // The same answer is given to an order that arrives too late, which says nothing about earlier ones.
        candidate_reported_absent_ = true;
    }
}

void switchover::replace_absent_candidate(const group_snapshot &group, time_point now)
{
    absent_candidates_.push_back(candidate_);
    candidate_reported_absent_ = false;
    order_may_take_effect_ = false; // an instance that is not running is not the primary
    candidate_ = most_advanced(group);
    // Without a candidate the replacement is abandoned, unless another replica answers.
    enter(candidate_.empty() ? phase::pausing : phase::promoting, now);
}

std::vector<action> switchover::step_awaiting_primary(const group_snapshot &group, time_point now)
{
    const auto *const candidate = find(group, candidate_);
    if (candidate && is_primary_above(*candidate, former_term_)) {
        enter(phase::settling, now);
        return step_settling(group, now);
    }
    if (now - entered_at_ >= promotion_limit) {
        if (may_abandon(group))
            return abandon_replacement("the promoted instance did not become the primary", now);
        enter(phase::promoting, now);
        return step_promoting(group, now);
    }
    if (!repeat_due(now))
        return {};
    return {{action_kind::probe, candidate_, 0}};
}

std::vector<action> switchover::step_settling(const group_snapshot &group, time_point now)
{
    const auto *const former = find(group, former_primary_);
    const bool stepped_down = !former || former->refuses || !former->report ||
                              former->report->role == instance_role::replica ||
                              now - entered_at_ >= self_step_down_time;
    bool resumed = true;
    std::vector<action> out;
    if (!repeat_due(now))
        return out;
    if (former && (!former->report || former->report->role == instance_role::primary) && !former->refuses)
        out.push_back({action_kind::step_down, former_primary_, group.term});
    for (const auto &it : group.members) {
        if (it.id == candidate_ || !it.report || it.report->paused_at == 0)
            continue;
        resumed = false;
        if (stepped_down)
            out.push_back({action_kind::resume, it.id, 0});
    }
    const bool timed_out = now - entered_at_ >= promotion_limit;
    if ((stepped_down && resumed) || timed_out)
        enter(phase::idle, now);
    return out;
}

std::vector<action> switchover::resume_orphans(const group_snapshot &group, time_point now)
{
    std::vector<action> out;
    for (const auto &it : group.members) {
        const bool is_paused = it.report && it.report->paused_at > 0 && group.primary != it.id;
        if (!is_paused || !group.primary) {
            paused_since_.erase(it.id);
            continue;
        }
        const auto since = paused_since_.emplace(it.id, now).first->second;
        if (now - since >= orphan_limit && repeat_due(now))
            out.push_back({action_kind::resume, it.id, 0});
    }
    return out;
}

std::vector<action> switchover::abandon_replacement(std::string_view reason, time_point now)
{
    last_reason_ = reason;
    std::vector<action> out;
    for (const auto &it : paused_)
        out.push_back({action_kind::resume, it.first, 0});
    enter(phase::idle, now);
    retry_at_ = now + retry_delay;
    return out;
}

std::string switchover::paused_instances() const
{
    std::string out;
    for (const auto &it : paused_)
        out += (out.empty() ? "" : " ") + it.first;
    return out;
}

void switchover::enter(phase next, time_point now)
{
    phase_ = next;
    entered_at_ = now;
    repeated_at_ = {};
    order_in_flight_ = false;
    no_primary_since_.reset();
}

bool switchover::repeat_due(time_point now)
{
    if (repeated_at_ != time_point{} && now - repeated_at_ < repeat_interval)
        return false;
    repeated_at_ = now;
    return true;
}

} // namespace baobabport::failover
