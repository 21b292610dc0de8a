#include "admission/read_sharing.h"

#include <utility>

namespace baobabport::admission {

std::optional<inner::statement_answer> read_sharing::find(const std::string &question,
                                                          const acceptance &needs, time_point now) const
{
    const auto it = kept_.find(question);
    if (it == kept_.end() || needs.staleness.count() == 0)
        return std::nullopt;
    const auto &kept = it->second;
    if (kept.answer.at < needs.floor)
        return std::nullopt;
    if (now - kept.as_of > needs.staleness || now - kept.stored_at > needs.share_for)
        return std::nullopt;
    return kept.answer;
}

std::optional<std::uint64_t> read_sharing::join(const std::string &question, std::uint64_t key)
{
    const auto [it, is_new] = reading_.try_emplace(question, reading{key, {}});
    if (is_new)
        return std::nullopt;
    it->second.waiting.push_back(key);
    return it->second.first_reader;
}

std::vector<std::uint64_t> read_sharing::end(const std::string &question, std::uint64_t key)
{
    const auto it = reading_.find(question);
    if (it == reading_.end() || it->second.first_reader != key)
        return {};
    auto out = std::move(it->second.waiting);
    reading_.erase(it);
    return out;
}

void read_sharing::leave(const std::string &question, std::uint64_t key)
{
    const auto it = reading_.find(question);
    if (it != reading_.end())
        std::erase(it->second.waiting, key);
}

void read_sharing::keep(const std::string &question, result kept)
{
    if (kept_.size() >= max_results && kept_.find(question) == kept_.end())
        return;
    kept_[question] = std::move(kept);
}

void read_sharing::expire(time_point now)
{
    std::erase_if(kept_, [&](const auto &it) { return now - it.second.stored_at > max_age; });
}

} // namespace baobabport::admission
