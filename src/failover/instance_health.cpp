#include "failover/instance_health.h"

#include <algorithm>

namespace baobabport::failover {

void instance_health::record_answer(time_point requested_at)
{
    last_answer_ = last_answer_ ? std::max(*last_answer_, requested_at) : requested_at;
    if (unanswered_since_ && requested_at >= *unanswered_since_)
        unanswered_since_.reset();
    if (refused_since_ && requested_at >= *refused_since_)
        refused_since_.reset();
}

void instance_health::record_refusal(time_point now)
{
    if (!refused_since_)
        refused_since_ = now;
}

void instance_health::record_timeout(time_point requested_at)
{
    if (last_answer_ && *last_answer_ > requested_at)
        return;
    if (!unanswered_since_ || requested_at < *unanswered_since_)
        unanswered_since_ = requested_at;
}

bool instance_health::is_failed(const document::failover_policy &policy, time_point now) const
{
    if (refused_since_ && now - *refused_since_ >= policy.refused_after)
        return true;
    return unanswered_since_ && now - *unanswered_since_ >= policy.silent_after;
}

} // namespace baobabport::failover
