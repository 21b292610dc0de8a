// Promotions, and distribution of commits to the instances' logs.

#include "line_group.h"

#include <algorithm>
#include <utility>

namespace standin {

using baobabport::consistency::position;

line_group::line_group(event_base *base, std::string service, const std::vector<std::string> &instances)
    : base_(base), service_(std::move(service)),
      promotion_timer_(base, [this] { complete_promotion(std::exchange(promoting_, {})); }),
      step_down_timer_(base, [this] { step_down(); })
{
    for (const auto &it : instances)
        instances_[it] = std::make_unique<line_instance>(base_, *this, it);
    instances_.at(instances.front())->primary = true;
}

line_group::~line_group() = default;

std::vector<std::string> line_group::ids() const
{
    std::vector<std::string> out;
    for (const auto &it : instances_)
        out.push_back(it.first);
    return out;
}

bool line_group::promote(const std::string &id)
{
    const auto it = instances_.find(id);
    if (it == instances_.end() || it->second->crashed())
        return false;
    const auto &chosen = *it->second;
    if ((chosen.primary && chosen.term == term_) || promoting_ == id)
        return true;
    if (traits.promote.count() == 0) {
        complete_promotion(id);
        return true;
    }
    promoting_ = id;
    promotion_timer_.start(traits.promote);
    return true;
}

void line_group::complete_promotion(const std::string &id)
{
    auto &chosen = *instances_.at(id);
    if (chosen.crashed())
        return;
    report_rolled_back(chosen);
    ++term_;
    chosen.primary = true;
    chosen.term = term_;
    chosen.apply(chosen.log.size());
    for (const auto &it : instances_) {
        auto &other = *it.second;
        // The protocol: a pause lasts "until `RESUME`, a promote, or the replica's restart".
        other.paused_at = 0;
        if (&other == &chosen || other.primary || other.drops_replication || other.crashed())
            continue;
        other.receive_log(chosen.log);
        other.term = term_;
    }
    step_down_timer_.start(traits.step_down);
}

void line_group::report_rolled_back(const line_instance &chosen)
{
    struct lost_entry
    {
        const log_entry *entry = nullptr;
        bool only_at_primary = true;
    };
    std::map<std::pair<std::uint64_t, std::uint64_t>, lost_entry> lost;
    for (const auto &[id, it] : instances_) {
        std::size_t kept = 0;
        while (kept < std::min(it->log.size(), chosen.log.size()) && it->log[kept].at == chosen.log[kept].at)
            ++kept;
        const bool replaced = it->primary && it->term == term_;
        for (; kept < it->log.size(); ++kept) {
            const auto &entry = it->log[kept];
            auto &found = lost[{entry.at.term, entry.at.offset}];
            found.entry = &entry;
            found.only_at_primary = found.only_at_primary && replaced && entry.at.term == term_;
        }
    }
    for (const auto &[at, it] : lost) {
        if (reported_.insert(at).second)
            rolled_back(*it.entry, it.only_at_primary);
    }
}

void line_group::step_down()
{
    for (const auto &it : instances_) {
        auto &other = *it.second;
        if (other.primary && other.term < term_ && !other.drops_replication)
            other.primary = false;
    }
}

position line_group::commit(line_instance &by, std::map<std::string, std::string> items)
{
    const log_entry entry{{by.term, by.received().offset + 1}, std::move(items)};
    by.log.push_back(entry);
    by.apply(by.log.size());
    for (const auto &it : instances_) {
        auto &other = *it.second;
        if (&other == &by || other.primary || other.drops_replication || other.paused_at != 0 ||
            other.crashed() || other.term > by.term)
            continue;
        other.receive_log(by.log);
        other.term = by.term;
    }
    return entry.at;
}

} // namespace standin
