// Counts by reason.

#include "limits/measure_log.h"

#include <utility>

namespace baobabport::limits {

std::optional<std::uint64_t> measure_log::record(const std::string &reason, time_point now)
{
    auto &it = entries_[reason];
    ++it.count;
    if (it.written_at && now - *it.written_at < interval)
        return std::nullopt;
    it.written_at = now;
    return std::exchange(it.count, 0);
}

} // namespace baobabport::limits
