#include "consistency/session_memory.h"

#include <algorithm>

namespace baobabport::consistency {

session_memory::remembered &session_memory::touch(const std::string &caller, time_point now)
{
    expire(now);
    auto &it = callers_[caller];
    it.last_used = now;
    uses_.push_back({caller, now});
    return it;
}

void session_memory::raise(const std::string &caller, position floor, time_point now)
{
    if (caller.empty())
        return;
    auto &it = touch(caller, now);
    it.state.floor = std::max(it.state.floor, floor);
}

void session_memory::doubt(const std::string &caller, time_point now)
{
    if (!caller.empty())
        touch(caller, now).state.in_doubt = true;
}

void session_memory::settle(const std::string &caller)
{
    const auto it = callers_.find(caller);
    if (it != callers_.end())
        it->second.state.in_doubt = false;
}

std::optional<session_memory::entry> session_memory::find(const std::string &caller) const
{
    const auto it = callers_.find(caller);
    if (it == callers_.end())
        return std::nullopt;
    return it->second.state;
}

void session_memory::expire(time_point now)
{
    while (!uses_.empty() && (uses_.front().at + memory <= now || uses_.size() > max_callers)) {
        const auto it = callers_.find(uses_.front().caller);
        if (it != callers_.end() && it->second.last_used == uses_.front().at)
            callers_.erase(it);
        uses_.pop_front();
    }
}

} // namespace baobabport::consistency
