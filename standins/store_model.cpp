#include "store_model.h"

namespace standin {

std::optional<store_model::value> store_model::read(const std::string &key, time_point now)
{
    const auto it = values_.find(key);
    if (it == values_.end())
        return std::nullopt;
    if (it->second.expires_at && *it->second.expires_at <= now) {
        values_.erase(it);
        return std::nullopt;
    }
    return it->second;
}

std::optional<std::uint64_t> store_model::compare_and_swap(const std::string &key, std::uint64_t expected,
                                                           const std::string &text,
                                                           std::optional<std::chrono::milliseconds> lease,
                                                           time_point now)
{
    const auto current = read(key, now);
    if ((current ? current->revision : 0) != expected)
        return std::nullopt;
    const auto revision = ++last_revision_[key];
    values_[key] = {text, revision, lease ? std::optional(now + *lease) : std::nullopt};
    return revision;
}

} // namespace standin
