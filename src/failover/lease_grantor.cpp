#include "failover/lease_grantor.h"

namespace baobabport::failover {

void lease_grantor::begin(time_point earliest)
{
    earliest_ = earliest;
    groups_.clear();
}

void lease_grantor::withhold(const std::string &service, bool withheld)
{
    groups_[service].withheld = withheld;
}

bool lease_grantor::may_grant(const std::string &service, time_point now) const
{
    const auto it = groups_.find(service);
    return now >= earliest_ && it != groups_.end() && !it->second.withheld;
}

void lease_grantor::record_grant(const std::string &service, time_point now)
{
    groups_[service].until = now + primary_lease_time + clock_margin;
}

bool lease_grantor::ended(const std::string &service, time_point now) const
{
    const auto it = groups_.find(service);
    return now >= earliest_ && (it == groups_.end() || now >= it->second.until);
}

} // namespace baobabport::failover
