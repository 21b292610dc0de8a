#include "failover/relay_assignment.h"

namespace baobabport::failover {

std::vector<std::string> relay_assignment::relays_for(const std::string &address,
                                                      const std::string &data_centre, bool must_answer,
                                                      time_point now)
{
    auto &relays = relays_[data_centre];
    std::erase_if(relays, [now](const auto &it) { return now - it.second > retention; });
    if (must_answer || relays.count(address) || relays.size() < relays_per_data_centre) {
        relays[address] = now;
        return {};
    }
    std::vector<std::string> out;
    for (const auto &it : relays)
        out.push_back(it.first);
    return out;
}

void relay_assignment::remove(const std::string &address)
{
    for (auto &it : relays_)
        it.second.erase(address);
}

} // namespace baobabport::failover
