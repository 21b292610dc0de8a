#include "routing/instance_score.h"

#include <algorithm>
#include <cmath>

namespace baobabport::routing {

namespace {

constexpr double gain = 0.2;
constexpr double usual_gain = 0.05;
constexpr double unknown_ms = 2.0; // as admission::duration_estimator assumes
constexpr double max_sample_ratio = 20.0;

double in_ms(std::chrono::steady_clock::duration it)
{
    return std::chrono::duration<double, std::milli>(it).count();
}

} // namespace

void instance_score::set_instances(const std::set<std::string> &ids)
{
    std::erase_if(instances_, [&ids](const auto &it) { return !ids.count(it.first); });
    for (const auto &it : ids)
        instances_.try_emplace(it);
}

void instance_score::record_answer(const std::string &id, const std::string &label,
                                   std::chrono::microseconds took, time_point now)
{
    const auto found = instances_.find(id);
    if (found == instances_.end())
        return;
    durations_.finished(label, took);
    const auto expected = std::max(1.0, static_cast<double>(durations_.expected(label).count()));
    const auto sample = std::min(max_sample_ratio, static_cast<double>(took.count()) / expected);
    auto &it = found->second;
    it = {ratio_of(it, now), now};
    it.ratio += gain * (sample - it.ratio);
    const auto took_ms = in_ms(took);
    usual_ms_ = usual_ms_ == 0 ? took_ms : usual_ms_ + usual_gain * (took_ms - usual_ms_);
}

double instance_score::ratio_of(const learned &it, time_point now) const
{
    const auto half_lives = in_ms(now - it.at) / static_cast<double>(half_life.count());
    return 1.0 + (it.ratio - 1.0) * std::exp2(-std::max(0.0, half_lives));
}

double instance_score::slowness(const std::string &id, time_point now) const
{
    const auto found = instances_.find(id);
    if (found == instances_.end())
        return 1.0;
    const auto own = ratio_of(found->second, now);
    auto fastest = own;
    for (const auto &it : instances_)
        fastest = std::min(fastest, ratio_of(it.second, now));
    const auto ratio = std::min(max_ratio, own / std::max(0.01, fastest));
    return std::max(1.0, ratio - (equal_ratio - 1.0));
}

instance_score::score instance_score::cost(const read_candidate &it, time_point now) const
{
    const auto usual = usual_ms_ == 0 ? unknown_ms : usual_ms_;
    auto service = usual * slowness(it.id, now);
    if (it.oldest_sent_at) {
        const auto age = in_ms(now - *it.oldest_sent_at);
        if (age > std::max(overdue_ratio * usual, in_ms(min_overdue)))
            service = std::max(service, age);
    }
    double statements = it.in_own_data_centre ? 0 : other_data_centre_cost;
    statements += it.behind ? behind_cost : 0;
    statements += it.excluded ? excluded_cost : 0;
    statements += it.ejected ? ejected_cost : 0;
    statements += it.draining ? draining_cost : 0;
    statements += it.primary ? primary_cost : 0;
    const auto queued = static_cast<double>(it.in_flight) / std::max(1U, it.slots);
    return score(service * (1.0 + queued) + usual * statements);
}

} // namespace baobabport::routing
