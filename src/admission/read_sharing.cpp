#include "admission/read_sharing.h"

#include <utility>

namespace baobabport::admission {

std::optional<inner::statement_answer> read_sharing::find(const std::string &sharing_key,
                                                          const requirements &needs, time_point now) const
{
    const auto it = stored_results_.find(sharing_key);
    if (it == stored_results_.end() || needs.staleness.count() == 0)
        return std::nullopt;
    const auto &stored = it->second;
    if (stored.answer.at < needs.floor)
        return std::nullopt;
    if (now - stored.as_of > needs.staleness || now - stored.stored_at > needs.share_for)
        return std::nullopt;
    return stored.answer;
}

std::optional<std::uint64_t> read_sharing::join(const std::string &sharing_key, std::uint64_t key)
{
    const auto [it, is_new] = reads_in_progress_.try_emplace(sharing_key, shared_read{key, {}});
    if (is_new)
        return std::nullopt;
    it->second.waiting.push_back(key);
    return it->second.first_reader;
}

std::vector<std::uint64_t> read_sharing::end(const std::string &sharing_key, std::uint64_t key)
{
    const auto it = reads_in_progress_.find(sharing_key);
    if (it == reads_in_progress_.end() || it->second.first_reader != key)
        return {};
    auto out = std::move(it->second.waiting);
    reads_in_progress_.erase(it);
    return out;
}

void read_sharing::remove_waiter(const std::string &sharing_key, std::uint64_t key)
{
    const auto it = reads_in_progress_.find(sharing_key);
    if (it != reads_in_progress_.end())
        std::erase(it->second.waiting, key);
}

void read_sharing::store(const std::string &sharing_key, result stored)
{
    if (stored_results_.size() >= max_results && stored_results_.find(sharing_key) == stored_results_.end())
        return;
    stored_results_[sharing_key] = std::move(stored);
}

void read_sharing::expire(time_point now)
{
    std::erase_if(stored_results_, [&](const auto &it) { return now - it.second.stored_at > max_age; });
}

} // namespace baobabport::admission
