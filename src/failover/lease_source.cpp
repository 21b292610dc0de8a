#include "failover/lease_source.h"

#include <algorithm>
#include <functional>

namespace baobabport::failover {

void lease_source::set_relays(std::vector<std::string> relays)
{
    clear();
    if (relays.empty())
        return;
    std::sort(relays.begin(), relays.end());
    const auto first = std::hash<std::string>{}(self_) % relays.size();
    std::rotate(relays.begin(), relays.begin() + static_cast<std::ptrdiff_t>(first), relays.end());
    relays_ = std::move(relays);
}

void lease_source::clear()
{
    relays_.clear();
    current_ = 0;
    answered_ = true;
}

std::string lease_source::next()
{
    if (relays_.empty())
        return {};
    if (!answered_)
        current_ = (current_ + 1) % (relays_.size() + 1);
    answered_ = false;
    return asks_relay() ? relays_[current_] : std::string();
}

} // namespace baobabport::failover
