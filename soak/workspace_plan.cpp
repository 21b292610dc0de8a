#include "workspace_plan.h"

#include <array>
#include <iterator>
#include <nlohmann/json.hpp>

namespace soak {

using nlohmann::json;

workspace_plan::workspace_plan(std::mt19937_64 &random) : random_(random)
{
    // Unequal, as the users' workspaces are: the callers together send a few hundred operations per second.
    constexpr std::array<double, 5> rates{150, 60, 30, 15, 8};
    for (const auto rate : rates) {
        names_.push_back("w" + std::to_string(names_.size()));
        state_[names_.back()] = {{new_key(), new_key()}, rate, rate / 2};
    }
}

json workspace_plan::tenants() const
{
    json out = json::array();
    for (const auto &[name, it] : state_)
        out.push_back({{"name", name},
                       {"api_keys", it.keys},
                       {"priority", 1},
                       {"rate_per_s", it.rate_per_s},
                       {"burst", it.burst}});
    return out;
}

std::string workspace_plan::new_key()
{
    issued_.push_back(key_mark + std::to_string(++last_key_) + '-' + std::to_string(random_()));
    return issued_.back();
}

/// Returns a key that the workspace does not hold any more; empty if it had none.
std::string workspace_plan::take_random_key(const std::string &workspace)
{
    auto &keys = state_[workspace].keys;
    if (keys.empty())
        return "";
    const auto it = std::next(keys.begin(), static_cast<std::ptrdiff_t>(random(keys.size())));
    auto out = *it;
    keys.erase(it);
    return out;
}

std::string workspace_plan::change()
{
    const auto name = names_[random(names_.size())];
    constexpr std::uint64_t kinds = 6;
    const auto kind = random(kinds);
    if (!state_.contains(name)) {
        state_[name] = {{new_key()}, 20, 10};
        return name + " is back with another key";
    }
    if (kind == 0 && state_.size() > 2) {
        state_.erase(name);
        return name + " is removed";
    }
    if (kind == 1) {
        auto &rate = state_[name].rate_per_s;
        rate = rate > 20 ? rate / 2 : rate * 4;
        return name + " gets the rate " + std::to_string(rate);
    }
    const auto key = take_random_key(name);
    if (kind == 2 && !key.empty()) {
        const auto to = std::next(state_.begin(), static_cast<std::ptrdiff_t>(random(state_.size())))->first;
        state_[to].keys.insert(key);
        return "a key of " + name + " moves to " + to;
    }
    if (kind <= 3 || state_[name].keys.empty())
        state_[name].keys.insert(new_key());
    return "a key of " + name + " is removed or replaced";
}

void workspace_plan::replace_all_keys()
{
    for (auto &[name, it] : state_)
        it.keys = {new_key()};
}

std::string workspace_plan::pick_key()
{
    constexpr std::uint64_t choices = 12;
    const auto choice = random(choices);
    if (choice == 0)
        return key_mark + std::string("unknown-") + std::to_string(random_());
    if (choice == 1)
        return issued_[random(issued_.size())];
    for (;;) {
        const auto &keys =
            std::next(state_.begin(), static_cast<std::ptrdiff_t>(random(state_.size())))->second.keys;
        if (!keys.empty())
            return *std::next(keys.begin(), static_cast<std::ptrdiff_t>(random(keys.size())));
    }
}

} // namespace soak
