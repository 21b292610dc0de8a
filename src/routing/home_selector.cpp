#include "routing/home_selector.h"

#include <algorithm>
#include <utility>

namespace baobabport::routing {

namespace {

/// Ranks stored per database; full rankings would need fleet size times number of databases entries.
constexpr std::size_t max_ranks = 16;

constexpr std::chrono::milliseconds initial_exclusion_period{200};
constexpr std::uint32_t max_doublings = 5;
constexpr std::chrono::seconds recovery_period{2};
constexpr std::chrono::milliseconds declined_exclusion_period{1000};

} // namespace

home_selector::home_selector(std::vector<candidate> candidates, std::uint64_t seed)
    : candidates_(std::move(candidates)), random_(seed)
{
}

void home_selector::set_leaving(const std::string &pooler, bool leaving)
{
    health_[pooler].leaving = leaving;
}

void home_selector::record_answer(const std::string &pooler, time_point now)
{
    auto &it = health_[pooler];
    if (it.failures == 0)
        return;
    if (it.answering_since == time_point{})
        it.answering_since = now;
    if (now - it.answering_since >= recovery_period) {
        it.failures = 0;
        it.answering_since = {};
    }
}

void home_selector::record_failure(const std::string &pooler, time_point now)
{
    auto &it = health_[pooler];
    it.answering_since = {};
    if (now < it.excluded_until)
        return; // one outage fails many requests at once and counts once
    const auto time = initial_exclusion_period * (1U << std::min(it.failures, max_doublings));
    std::uniform_int_distribution<std::int64_t> pick(time.count() / 2, time.count() * 3 / 2);
    it.excluded_until = now + std::chrono::milliseconds(pick(random_));
    ++it.failures;
}

void home_selector::record_declined(const std::string &database, const std::string &pooler, time_point now)
{
    std::erase_if(declined_periods_, [&](const auto &it) { return it.until <= now; });
    declined_periods_.push_back({database, pooler, now + declined_exclusion_period});
}

bool home_selector::has_declined(const std::string &database, const std::string &pooler, time_point now) const
{
    return std::any_of(declined_periods_.begin(), declined_periods_.end(), [&](const auto &it) {
        return it.database == database && it.pooler == pooler && it.until > now;
    });
}

std::optional<home_choice> home_selector::choose(const ranked_database &database,
                                                 const std::vector<std::string> &tried, time_point now)
{
    auto [ranking, is_new] = rankings_.try_emplace(database.name);
    if (is_new) {
        ranking->second = rank_homes(database, candidates_);
        ranking->second.resize(std::min(ranking->second.size(), max_ranks));
        ranking->second.shrink_to_fit();
    }
    std::optional<home_choice> fallback;
    time_point fallback_time = time_point::max();
    for (std::uint32_t rank = 0; rank < ranking->second.size(); ++rank) {
        const auto &name = candidates_[ranking->second[rank]].name;
        if (std::find(tried.begin(), tried.end(), name) != tried.end())
            continue;
        const auto &it = health_[name];
        const bool excluded = it.excluded_until > now;
        if (!excluded && !it.leaving && !has_declined(database.name, name, now))
            return home_choice{name, rank};
        const auto usable_at = it.leaving ? time_point::max() - std::chrono::hours(1) : it.excluded_until;
        if (usable_at < fallback_time) {
            fallback = home_choice{name, rank};
            fallback_time = usable_at;
        }
    }
    return fallback;
}

} // namespace baobabport::routing
