#include "session/connection_state.h"

#include <algorithm>

namespace baobabport::session {

connection_setup connection_state::require(const session_values &wanted,
                                           const std::optional<prepared_statement> &prepared,
                                           bool in_transaction)
{
    connection_setup out;
    const bool has_others = std::any_of(values_.begin(), values_.end(),
                                        [&wanted](const auto &value) { return !wanted.count(value.first); });
    if ((has_others || value_refused_) && !in_transaction) {
        out.reset = true;
        value_refused_ = false;
        values_.clear();
        names_.clear();
    }
    for (const auto &[name, value] : wanted) {
        const auto [it, is_new] = values_.try_emplace(name, value);
        if (!is_new && it->second == value)
            continue;
        it->second = value;
        out.values[name] = value;
    }
    if (prepared) {
        const auto [it, is_new] = names_.try_emplace(*prepared);
        if (is_new) {
            it->second.name = "p" + std::to_string(++last_name_);
            out.prepare = named_statement{it->second.name, *prepared};
        }
        it->second.used = ++last_use_;
    }
    if (!in_transaction)
        out.close = evict_names();
    return out;
}

std::vector<std::string> connection_state::evict_names()
{
    std::vector<std::string> out;
    while (names_.size() > max_names) {
        const auto oldest = std::min_element(names_.begin(), names_.end(), [](const auto &a, const auto &b) {
            return a.second.used < b.second.used;
        });
        out.push_back(oldest->second.name);
        names_.erase(oldest);
    }
    return out;
}

const std::string &connection_state::name_of(const prepared_statement &prepared) const
{
    return names_.at(prepared).name;
}

} // namespace baobabport::session
