#include "quota/fleet_size.h"

#include <algorithm>

namespace baobabport::quota {

void fleet_size::record_list(std::size_t members, time_point now)
{
    if (!sizes_.empty() && sizes_.back().members == members)
        return;
    changed_at_ = now;
    listed_at_ = listed_at_.value_or(now);
    if (!sizes_.empty())
        sizes_.back().replaced_at = now;
    while (!sizes_.empty() && sizes_.back().members <= members)
        sizes_.pop_back();
    sizes_.push_back({members, time_point::max()});
}

void fleet_size::record_contact(time_point at)
{
    contact_at_ = contact_at_ ? std::max(*contact_at_, at) : at;
}

std::optional<std::uint32_t> fleet_size::divisor(time_point now)
{
    if (alone_)
        return 1;
    if (sizes_.empty() || !contact_at_ || now - *contact_at_ > contact_limit)
        return std::nullopt;
    while (sizes_.size() > 1 && now - sizes_.front().replaced_at > memory)
        sizes_.pop_front();
    const auto listed = static_cast<std::uint32_t>(std::max<std::size_t>(1, sizes_.front().members));
    if (!settled_) {
        if (recorded_ < listed && now - changed_at_ < settling_time &&
            now - *listed_at_ < longest_settling_time)
            return std::nullopt;
        settled_ = true;
    }
    // After a restart of all VMs the list grows from one member. Later it is more precise than the record,
    // which the leader changes only after large differences.
    return now - started_at_ < memory ? std::max(listed, recorded_) : listed;
}

} // namespace baobabport::quota
