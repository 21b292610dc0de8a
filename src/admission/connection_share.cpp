#include "admission/connection_share.h"

#include <algorithm>

namespace baobabport::admission {

std::uint32_t connection_share::limit(std::chrono::milliseconds running_for) const
{
    const auto of_home =
        std::max(1U, static_cast<std::uint32_t>(std::uint64_t{max_connections} * home_percent / 100));
    if (homes_known || fleet_size <= 1)
        return of_home;
    const std::uint32_t at_least = running_for >= isolation_delay ? 1 : 0;
    return std::max(of_home / fleet_size, at_least);
}

} // namespace baobabport::admission
