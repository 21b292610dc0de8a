#include "admission/request_deduplicator.h"

#include <algorithm>
#include <utility>

namespace baobabport::admission {

request_deduplicator::claim request_deduplicator::begin(const std::string &id, std::uint64_t key,
                                                        time_point now)
{
    expire(now);
    const auto it = entries_.find(id);
    if (it == entries_.end()) {
        entries_.emplace(id, entry{});
        return {claim_kind::first, std::nullopt};
    }
    if (it->second.answer)
        return {claim_kind::answered, it->second.answer};
    it->second.joined.push_back(key);
    return {claim_kind::joined, std::nullopt};
}

std::vector<std::uint64_t> request_deduplicator::finish(const std::string &id,
                                                        const inner::statement_answer &answer, time_point now)
{
    const auto it = entries_.find(id);
    if (it == entries_.end())
        return {};
    auto joined = std::exchange(it->second.joined, {});
    if (answer.outcome != consistency::verdict::ran) {
        entries_.erase(it);
        return joined;
    }
    it->second.answer = answer;
    finished_.push_back({id, now});
    return joined;
}

void request_deduplicator::remove_waiter(const std::string &id, std::uint64_t key)
{
    const auto it = entries_.find(id);
    if (it != entries_.end())
        std::erase(it->second.joined, key);
}

void request_deduplicator::expire(time_point now)
{
    while (!finished_.empty() &&
           (finished_.front().at + retention <= now || finished_.size() > max_entries)) {
        entries_.erase(finished_.front().id);
        finished_.pop_front();
    }
}

} // namespace baobabport::admission
