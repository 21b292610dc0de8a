#include "consistency/held_answers.h"

#include <algorithm>

namespace baobabport::consistency {

void held_answers::hold(key id, position at, time_point deadline, std::optional<time_point> confirm_since)
{
    entries_.push_back({id, at, deadline, confirm_since});
}

std::vector<held_answers::release> held_answers::rebase(position base, std::uint64_t term)
{
    std::vector<release> out;
    for (auto &it : entries_) {
        if (it.at.term >= term)
            continue;
        if (it.at <= base && it.at.term == base.term)
            it.at = {term, base.offset + 1};
        else
            out.push_back({it.id, release_kind::lost});
    }
    std::erase_if(entries_, [&](const auto &it) { return it.at.term < term; });
    return out;
}

std::vector<held_answers::release> held_answers::remove_superseded(std::uint64_t term)
{
    std::vector<release> out;
    for (const auto &it : entries_) {
        if (it.at.term < term)
            out.push_back({it.id, release_kind::lost});
    }
    std::erase_if(entries_, [&](const auto &it) { return it.at.term < term; });
    return out;
}

std::vector<held_answers::release> held_answers::collect(const group_view &group, time_point now)
{
    std::vector<release> out;
    for (const auto &it : entries_) {
        if (is_releasable(it, group))
            out.push_back({it.id, release_kind::durable});
        else if (it.deadline <= now)
            out.push_back({it.id, release_kind::expired});
    }
    std::erase_if(entries_, [&](const auto &it) { return is_releasable(it, group) || it.deadline <= now; });
    return out;
}

bool held_answers::is_releasable(const entry &it, const group_view &group)
{
    if (it.confirm_since && !group.confirmed_since(it.at.term, *it.confirm_since))
        return false;
    const auto durable = group.durable_position(it.at.term);
    return durable && *durable >= it.at;
}

std::optional<position> held_answers::highest(std::uint64_t term) const
{
    std::optional<position> out;
    for (const auto &it : entries_) {
        if (it.at.term == term && (!out || *out < it.at))
            out = it.at;
    }
    return out;
}

bool held_answers::needs_confirmation(const group_view &group) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto &it) {
        return it.confirm_since && !group.confirmed_since(it.at.term, *it.confirm_since);
    });
}

std::optional<time_point> held_answers::next_deadline() const
{
    std::optional<time_point> out;
    for (const auto &it : entries_) {
        if (!out || it.deadline < *out)
            out = it.deadline;
    }
    return out;
}

} // namespace baobabport::consistency
