#include "failover/peer_census.h"

#include <algorithm>

namespace baobabport::failover {

void peer_census::heard(const support::address &from, milliseconds store_silent_for, time_point now)
{
    members_[from.text()] = {now, store_silent_for};
    std::erase_if(members_, [now](const auto &it) { return now - it.second.heard_at > membership; });
}

bool peer_census::store_is_down(milliseconds own_silence, time_point now) const
{
    if (own_silence < store_silence)
        return false;
    return std::all_of(members_.begin(), members_.end(), [now](const auto &it) {
        if (now - it.second.heard_at > membership)
            return true;
        return now - it.second.heard_at <= freshness && it.second.store_silent_for >= store_silence;
    });
}

std::size_t peer_census::members(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [now](const auto &it) {
        return now - it.second.heard_at <= membership;
    }));
}

} // namespace baobabport::failover
