#include "routing/store_retry_policy.h"

#include <algorithm>

namespace baobabport::routing {

std::chrono::milliseconds store_retry_policy::after_failure()
{
    constexpr std::uint32_t max_backoff_doublings = 8;
    const auto backoff = std::min(max_backoff, initial_backoff * (1U << failures_));
    failures_ = std::min(failures_ + 1, max_backoff_doublings);
    std::uniform_int_distribution<std::int64_t> pick(backoff.count() / 2, backoff.count());
    return std::chrono::milliseconds(pick(random_));
}

std::chrono::milliseconds store_retry_policy::after_shared_change()
{
    std::uniform_int_distribution<std::int64_t> pick(0, max_shared_change_delay.count());
    return std::chrono::milliseconds(pick(random_));
}

} // namespace baobabport::routing
