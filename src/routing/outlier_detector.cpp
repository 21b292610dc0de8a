#include "routing/outlier_detector.h"

#include <algorithm>
#include <optional>

namespace baobabport::routing {

namespace {

constexpr std::uint32_t max_doublings = 4; // from the first period to the longest

struct tally
{
    std::size_t bad = 0;
    std::size_t all = 0;

    [[nodiscard]] double share() const
    {
        return all == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(all);
    }
};

template <typename Answers>
tally count(const Answers &answers, time_point now)
{
    tally out;
    for (const auto &it : answers) {
        if (now - it.at > outlier_detector::window)
            continue;
        ++out.all;
        out.bad += it.good ? 0 : 1;
    }
    return out;
}

} // namespace

void outlier_detector::set_instances(const std::set<std::string> &ids)
{
    std::erase_if(instances_, [&ids](const auto &it) { return !ids.count(it.first); });
    for (const auto &it : ids)
        instances_.try_emplace(it);
}

void outlier_detector::record_restart(const std::string &id, time_point now)
{
    const auto it = instances_.find(id);
    if (it == instances_.end())
        return;
    it->second.answers.clear();
    // A trial may begin at once. One that fails continues the doubling, so that an instance that keeps
    // restarting is not trusted each time.
    it->second.ejected_until = std::min(it->second.ejected_until, now);
}

void outlier_detector::record_answer(const std::string &id, bool good, time_point now)
{
    const auto found = instances_.find(id);
    if (found == instances_.end())
        return;
    auto &it = found->second;
    if (it.trial_limit > 0) {
        if (now < it.ejected_until)
            return; // to a statement that was sent before, or that only the primary can run
        if (!good) {
            eject(it, now);
            return;
        }
        it.trial_limit *= 2;
        if (it.trial_limit > last_trial_limit) {
            it.trial_limit = 0;
            it.readmitted_at = now;
        }
        return;
    }
    it.answers.push_back({now, good});
    if (it.answers.size() > max_answers)
        it.answers.pop_front();
    if (good || !stands_out(id, now) || !may_eject_another())
        return;
    if (now - it.readmitted_at > forgiveness)
        it.ejections = 0;
    eject(it, now);
}

void outlier_detector::eject(history &it, time_point now)
{
    it.ejected_until = now + first_ejection * (1U << std::min(it.ejections, max_doublings));
    ++it.ejections;
    it.trial_limit = 1;
    it.answers.clear();
}

bool outlier_detector::stands_out(const std::string &id, time_point now) const
{
    const auto own = count(instances_.at(id).answers, now);
    if (own.bad < min_bad)
        return false;
    std::optional<double> lowest;
    for (const auto &[other, it] : instances_) {
        const auto counted = count(it.answers, now);
        if (other != id && counted.all > 0)
            lowest = std::min(lowest.value_or(1.0), counted.share());
    }
    if (own.share() <= outlier_ratio * lowest.value_or(0.0))
        return false;
    const auto &answers = instances_.at(id).answers;
    const bool consecutive =
        std::none_of(answers.end() - min_bad, answers.end(), [](const auto &it) { return it.good; });
    return consecutive || own.share() >= min_share;
}

bool outlier_detector::may_eject_another() const
{
    const auto away = std::count_if(instances_.begin(), instances_.end(),
                                    [](const auto &it) { return it.second.trial_limit > 0; });
    return 2 * (static_cast<std::size_t>(away) + 1) <= instances_.size();
}

bool outlier_detector::admits(const std::string &id, std::uint32_t in_flight, time_point now) const
{
    const auto it = instances_.find(id);
    if (it == instances_.end() || it->second.trial_limit == 0)
        return true;
    return now >= it->second.ejected_until && in_flight < it->second.trial_limit;
}

bool outlier_detector::is_ejected(const std::string &id, time_point now) const
{
    const auto it = instances_.find(id);
    return it != instances_.end() && it->second.trial_limit > 0 && now < it->second.ejected_until;
}

} // namespace baobabport::routing
