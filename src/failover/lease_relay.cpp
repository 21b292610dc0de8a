#include "failover/lease_relay.h"

#include <algorithm>

namespace baobabport::failover {

void lease_relay::record_answer(const inner::lease_answer &answer, const inner::member &leader,
                                time_point requested_at)
{
    if (last_ && (answer.generation < last_->generation || requested_at < last_requested_at_))
        return;
    last_ = answer;
    last_->members.clear();
    last_->part = {};
    leader_ = leader;
    last_requested_at_ = requested_at;
    version_at_leader_ = answer.followers_version;
}

std::optional<inner::lease_answer> lease_relay::answer(const inner::lease_request &request,
                                                       const std::string &from, const member_log &members,
                                                       time_point now)
{
    if (!last_ || !request.accepts_relay || now - last_requested_at_ >= search_time ||
        request.generation > last_->generation)
        return std::nullopt;
    if (request.vm.empty())
        followers_.erase(from); // it is shutting down
    else
        followers_[from] = {{request.vm, request.data_centre, from}, now};
    inner::lease_answer out;
    out.generation = last_->generation;
    out.number = request.number;
    out.relayed_age = std::chrono::ceil<milliseconds>(now - last_requested_at_);
    out.leader = leader_;
    out.acting = now - last_requested_at_ < answer_lifetime;
    if (!out.acting)
        return out;
    out.leases = last_->leases;
    out.part = members.changes_since(request.list_generation, request.list_version);
    return out;
}

void lease_relay::update_followers(time_point now)
{
    std::erase_if(followers_,
                  [now](const auto &it) { return now - it.second.asked_at > follower_retention; });
    std::vector<inner::member> current;
    for (const auto &it : followers_)
        current.push_back(it.second.process);
    if (current == reported_)
        return;
    reported_ = std::move(current);
    ++reported_version_;
}

void lease_relay::fill_request(inner::lease_request &request, time_point now)
{
    update_followers(now);
    request.followers_version = reported_version_;
    if (reported_version_ != version_at_leader_)
        request.followers = reported_;
}

} // namespace baobabport::failover
