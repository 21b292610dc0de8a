#include "routing/store_retry_policy.h"

#include <algorithm>

namespace baobabport::routing {

std::chrono::milliseconds store_retry_policy::after_failure()
{
    constexpr std::uint32_t most_doublings = 8;
    const auto pause = std::min(longest_pause, first_pause * (1U << failures_));
    failures_ = std::min(failures_ + 1, most_doublings);
    std::uniform_int_distribution<std::int64_t> pick(pause.count() / 2, pause.count());
    return std::chrono::milliseconds(pick(random_));
}

std::chrono::milliseconds store_retry_policy::after_shared_change()
{
    std::uniform_int_distribution<std::int64_t> pick(0, shared_change_spread.count());
    return std::chrono::milliseconds(pick(random_));
}

} // namespace baobabport::routing
