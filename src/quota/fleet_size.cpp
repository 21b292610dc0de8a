#include "quota/fleet_size.h"

#include <algorithm>
#include <utility>

namespace baobabport::quota {

void fleet_size::record_list(const std::vector<std::string> &vms, time_point now)
{
    std::map<std::string, time_point> listed;
    for (const auto &vm : vms)
        listed[vm] = time_point::max();
    for (const auto &[vm, left_at] : left_at_) {
        const bool is_new = listed.try_emplace(vm, std::min(left_at, now)).second;
        if (is_new && left_at == time_point::max())
            changed_at_ = now;
    }
    if (listed.size() != left_at_.size() || !listed_at_)
        changed_at_ = now;
    left_at_ = std::move(listed);
    listed_at_ = listed_at_.value_or(now);
}

void fleet_size::record_contact(time_point at)
{
    contact_at_ = contact_at_ ? std::max(*contact_at_, at) : at;
}

std::optional<std::uint32_t> fleet_size::divisor(time_point now)
{
    if (alone_)
        return 1;
    if (!listed_at_ || !contact_at_ || now - *contact_at_ > contact_limit)
        return std::nullopt;
    std::erase_if(left_at_, [now](const auto &it) {
        return it.second != time_point::max() && now - it.second > memory;
    });
    const auto listed = static_cast<std::uint32_t>(std::max<std::size_t>(1, left_at_.size()));
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
