#include "replication/group_state.h"

#include <algorithm>

namespace baobabport::replication {

using consistency::instance_role;

confirmation group_state::observe(const std::string &id, const member_report &report, time_point requested_at)
{
    reports_[id] = report;
    unanswered_since_.erase(id);
    if (report.role == instance_role::primary) {
        if (report.term > term_ || (report.term == term_ && !primary_)) {
            begin_term(id, report.term);
            // The primary itself read the log position, after the request was sent and before its answer.
            // Once the primary is confirmed, it covers every commit acknowledged before the request.
            add_sample(report.received, requested_at);
        } else if (primary_ == id) {
            add_sample(report.received, requested_at);
        } else if (report.term < term_) {
            record_not_promoted(id, requested_at);
            return confirmation::contested;
        }
        return confirmation::irrelevant;
    }
    if (primary_ == id)
        primary_.reset();
    if (!primary_)
        return confirmation::irrelevant;
    // A pause at or below the current term remains from the promotion that began this term.
    if (report.paused_at > term_ || report.term > term_) {
        contested_ = true;
        return confirmation::contested;
    }
    contested_ = false;
    record_not_promoted(id, requested_at);
    if (report.term == term_)
        record_received(report.received);
    const auto confirmed_at = confirmed_by_reports(requested_at);
    if (confirmed_at <= confirmed_at_)
        return confirmation::irrelevant;
    confirmed_at_ = confirmed_at;
    return confirmation::confirmed;
}

void group_state::record_request(const std::string &id, time_point requested_at)
{
    unanswered_since_.emplace(id, requested_at);
}

void group_state::record_not_promoted(const std::string &id, time_point requested_at)
{
    auto &at = not_promoted_at_[id];
    at = std::max(at, requested_at); // reports may arrive in another order than they were requested
}

bool group_state::is_superseded() const
{
    return primary_ && std::any_of(reports_.begin(), reports_.end(), [this](const auto &it) {
               return it.second.role == instance_role::replica && it.second.term > term_;
           });
}

bool group_state::is_silent(const std::string &id, time_point now) const
{
    const auto it = unanswered_since_.find(id);
    return it != unanswered_since_.end() && now - it->second >= silence_limit;
}

time_point group_state::not_promoted_at(const std::string &id, time_point now) const
{
    const auto it = not_promoted_at_.find(id);
    const auto out = it == not_promoted_at_.end() ? time_point{} : it->second;
    return is_silent(id, now) ? std::max(out, followed_at_) : out;
}

time_point group_state::confirmed_by_reports(time_point now) const
{
    std::optional<time_point> out;
    for (const auto &id : members_) {
        if (primary_ == id)
            continue;
        const auto at = not_promoted_at(id, now);
        out = out ? std::min(*out, at) : at;
    }
    return out.value_or(time_point{});
}

bool group_state::excludes_successor(time_point since, const std::set<std::string> &stopped,
                                     time_point now) const
{
    return primary_ && !contested() && std::all_of(members_.begin(), members_.end(), [&](const auto &id) {
               return primary_ == id || stopped.count(id) > 0 || not_promoted_at(id, now) >= since;
           });
}

void group_state::record_received(position received)
{
    // What a replica has received beyond a sample was committed after that sample was requested.
    const auto it = std::find_if(samples_.rbegin(), samples_.rend(),
                                 [received](const auto &sample) { return sample.log < received; });
    if (it != samples_.rend())
        followed_at_ = std::max(followed_at_, it->requested_at);
}

void group_state::confirm_by_lease(std::uint64_t term, time_point now)
{
    if (!primary_ || term != term_ || is_superseded())
        return;
    contested_ = false;
    confirmed_at_ = std::max(confirmed_at_, now);
}

void group_state::adopt_primary(const std::string &id, std::uint64_t term, position log,
                                time_point requested_at)
{
    if (term > term_ || (term == term_ && !primary_))
        begin_term(id, term);
    if (term == term_ && primary_ == id)
        add_sample(log, requested_at);
}

void group_state::observe_applied(const std::string &id, position log, time_point requested_at)
{
    applied_[id] = {requested_at, log};
}

void group_state::observe_primary_log(const std::string &id, position log, time_point requested_at)
{
    if (primary_ == id)
        add_sample(log, requested_at);
}

void group_state::reject_primary(const std::string &id)
{
    if (primary_ != id)
        return;
    primary_.reset();
    reports_.erase(id);
}

void group_state::erase_instance(const std::string &id)
{
    members_.erase(id);
    reports_.erase(id);
    applied_.erase(id);
    not_promoted_at_.erase(id);
    unanswered_since_.erase(id);
    if (primary_ == id)
        primary_.reset();
}

std::optional<position> group_state::floor_at(time_point since) const
{
    // The oldest sample that is recent enough gives the lowest floor, which requires the least of a replica.
    const auto it = std::lower_bound(samples_.begin(), samples_.end(), since,
                                     [](const sample &a, time_point b) { return a.requested_at < b; });
    if (it == samples_.end() || it->requested_at > confirmed_at_)
        return std::nullopt;
    return it->log;
}

std::optional<group_state::sample> group_state::latest_sample() const
{
    return samples_.empty() ? std::nullopt : std::optional(samples_.back());
}

std::optional<group_state::sample> group_state::applied(const std::string &id) const
{
    const auto it = applied_.find(id);
    if (it == applied_.end())
        return std::nullopt;
    return it->second;
}

const member_report *group_state::report_of(const std::string &id) const
{
    const auto it = reports_.find(id);
    return it == reports_.end() ? nullptr : &it->second;
}

void group_state::begin_term(const std::string &id, std::uint64_t term)
{
    const bool same_term = term == term_;
    primary_ = id;
    term_ = term;
    contested_ = false;
    if (same_term)
        return;
    samples_.clear();
    applied_.clear();
    not_promoted_at_.clear();
    followed_at_ = {};
}

void group_state::add_sample(position log, time_point requested_at)
{
    if (!samples_.empty() && requested_at < samples_.back().requested_at)
        return;
    if (!samples_.empty() && requested_at - samples_.back().requested_at < sample_interval)
        return;
    samples_.push_back({requested_at, log});
    while (requested_at - samples_.front().requested_at > max_sample_age)
        samples_.pop_front();
}

} // namespace baobabport::replication
