#include "failover/membership_tracker.h"

#include <algorithm>
#include <utility>

namespace baobabport::failover {

void membership_tracker::begin(const std::vector<inner::member> &members, time_point now)
{
    members_.clear();
    for (const auto &it : members)
        members_.try_emplace(it.address, known_member{it, now, false, std::nullopt, milliseconds(0), 0, {}});
}

void membership_tracker::record_request(const inner::member &from, milliseconds store_unanswered_for,
                                        std::optional<time_point> answer_sent_at, time_point now)
{
    auto &known = members_[from.address];
    known.member = from;
    known.last_received_at = now;
    known.answered = true;
    known.answer_sent_at = answer_sent_at;
    known.store_unanswered_for = store_unanswered_for;
    std::erase_if(members_,
                  [now](const auto &it) { return now - it.second.last_received_at > member_retention; });
}

void membership_tracker::record_followers(const std::string &relay, std::uint64_t version,
                                          std::vector<inner::member> followers)
{
    const auto it = members_.find(relay);
    if (it == members_.end())
        return;
    it->second.followers_version = version;
    it->second.followers = std::move(followers);
}

std::uint64_t membership_tracker::followers_version(const std::string &relay) const
{
    const auto it = members_.find(relay);
    return it == members_.end() ? 0 : it->second.followers_version;
}

bool membership_tracker::was_answered(const std::string &address) const
{
    const auto it = members_.find(address);
    return it != members_.end() && it->second.answered;
}

void membership_tracker::remove_member(const std::string &address)
{
    members_.erase(address);
}

const std::vector<inner::member> &membership_tracker::list(time_point now, std::uint64_t &version)
{
    std::map<std::string, inner::member> by_address;
    for (const auto &[address, it] : members_) {
        if (now - it.last_received_at > list_retention)
            continue;
        by_address[address] = it.member;
        for (const auto &follower : it.followers)
            by_address.try_emplace(follower.address, follower);
    }
    std::vector<inner::member> recent;
    recent.reserve(by_address.size());
    for (auto &it : by_address)
        recent.push_back(std::move(it.second));
    if (recent != list_) {
        list_ = std::move(recent);
        // Derived from the clock, so that the lists of two leaders never have the same version.
        version_ = static_cast<std::uint64_t>(now.time_since_epoch().count());
    }
    version = version_;
    return list_;
}

bool membership_tracker::all_agree(time_point now) const
{
    bool any = false;
    for (const auto &[address, it] : members_) {
        if (!it.answered || now - it.last_received_at > member_retention)
            continue;
        if (!it.answer_sent_at || now - *it.answer_sent_at > agreement_lifetime ||
            it.store_unanswered_for < store_outage_threshold)
            return false;
        any = true;
    }
    return any || members_.empty();
}

std::string membership_tracker::summary(time_point now) const
{
    constexpr std::size_t max_listed = 8; // keeps the log line short, whatever the size of the fleet
    std::string out = std::to_string(members_.size()) + " known";
    std::size_t n = 0;
    for (const auto &it : members_) {
        if (n++ == max_listed)
            return out + ", ...";
        const auto age = std::chrono::duration_cast<milliseconds>(now - it.second.last_received_at);
        out += "; " + it.second.member.vm + (it.second.answered ? " heard " : " not heard for ") +
               std::to_string(age.count()) + " ms" +
               (it.second.answered ? " ago, store unresponsive for " : "");
        if (it.second.answered)
            out += std::to_string(it.second.store_unanswered_for.count()) + " ms";
    }
    return out;
}

} // namespace baobabport::failover
