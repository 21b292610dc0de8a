// The proxy's exchange with the other processes: leadership, primary leases, members and the state of the
// store.

#include "proxy/proxy_task.h"
#include "support/boot_clock.h"
#include "support/json_log.h"

#include <utility>

namespace baobabport::proxy {

using clock_type = support::boot_clock;
using support::log_event;

void proxy_task::tick_leadership(time_point now)
{
    if (election_) {
        election_->tick(now);
        log_basis(now);
    }
    const auto assumed_generation = election_ ? election_->assumed_generation() : std::nullopt;
    if (assumed_generation && assumed_generation != membership_generation_) {
        membership_generation_ = assumed_generation;
        membership_.begin(known_members_, now);
    }
    const auto exclusive = election_ ? election_->exclusive_generation(now) : std::nullopt;
    if (!exclusive || exclusive == granting_generation_)
        return;
    granting_generation_ = exclusive;
    grantor_.begin(now);
    log_event("failover_duty_settled", {{"generation", std::to_string(*exclusive)}});
}

void proxy_task::log_basis(time_point now)
{
    const auto basis = election_->basis(now);
    if (basis == basis_)
        return;
    const auto log = basis == leadership_basis::none ? support::log_warning : log_event; // stopped acting
    log("failover_duty_ground", {{"ground", to_string(basis)},
                                 {"before", to_string(basis_)},
                                 {"generation", std::to_string(election_->assumed_generation().value_or(0))},
                                 {"unconfirmed_ms", std::to_string(election_->unconfirmed_for(now).count())},
                                 {"store_unanswered_ms", std::to_string(store_.unanswered_for(now).count())},
                                 {"members", membership_.summary(now)}});
    basis_ = basis;
}

void proxy_task::tick_peers(time_point now)
{
    const bool is_leader = election_ && election_->acting_generation(now);
    desired_state_.set_independent(is_leader);
    instance_list_.set_independent(is_leader);
    local_executor_.tick(now, routes_.state().transaction_idle * 2);
    if (!election_)
        return;
    if (!peers_ && !election_->peer_key().empty()) {
        peers_.emplace(
            base_,
            peer_identity{settings_.process, settings_.data_centre, settings_.peers, election_->peer_key()},
            local_executor_);
        peers_->set_members(known_members_);
    }
    if (!election_->acting_generation(now))
        return;
    std::uint64_t version = 0;
    const auto &members = membership_.list(now, version);
    if (version != members_version_)
        update_members(members, version);
}

void proxy_task::update_members(const std::vector<inner::member> &members, std::uint64_t version)
{
    if (version == members_version_)
        return;
    members_version_ = version;
    known_members_ = members;
    // The leader that made the list does not list itself.
    if (const auto leader = election_->remote_leader())
        known_members_.push_back({leader->vm, leader->data_centre, leader->at.text()});
    if (peers_)
        peers_->set_members(known_members_);
    log_event("members_known", {{"members", std::to_string(known_members_.size())}});
}

void proxy_task::fill_request(inner::lease_request &request)
{
    if (election_)
        election_->fill_request(request, clock_type::now());
    request.members_known = members_version_;
    // A process that omits its name gets leases but no statements: the others choose another home.
    if (!draining_since_)
        request.vm = settings_.process;
    request.data_centre = settings_.data_centre;
}

std::optional<inner::lease_answer> proxy_task::answer_request(const inner::lease_request &request,
                                                              const support::address &from)
{
    const auto now = clock_type::now();
    const auto assumed_generation = election_ ? election_->assumed_generation() : std::nullopt;
    if (!assumed_generation || assumed_generation != membership_generation_ ||
        *assumed_generation != request.generation)
        return std::nullopt;
    track_follower(request, from, now);
    inner::lease_answer out;
    out.generation = *assumed_generation;
    out.number = request.number;
    out.leader_timestamp = inner::timestamp_of(now);
    out.store_check_requested = election_->store_unresponsive(now);
    out.acting = election_->acting_generation(now).has_value();
    if (!out.acting)
        return out;
    const bool exclusive = election_->exclusive_generation(now) && granting_generation_ == assumed_generation;
    const auto age = [now](time_point at) { return std::chrono::ceil<milliseconds>(now - at); };
    out.desired_state_version = routes_.version();
    out.desired_state_age = age(desired_state_.confirmed_at());
    out.instances_digest = instances_.digest();
    out.instances_age = age(instances_.confirmed_at());
    const auto &members = membership_.list(now, out.members_version);
    if (out.members_version != request.members_known)
        out.members = members;
    for (const auto &[service, group] : groups_) {
        group->request_floor(now);
        auto lease = group->lease_for_peers(now);
        if (!lease)
            continue;
        lease->granted = exclusive && grantor_.may_grant(service, now);
        if (lease->granted)
            grantor_.record_grant(service, now);
        out.leases.push_back(*lease);
    }
    return out;
}

void proxy_task::track_follower(const inner::lease_request &request, const support::address &from,
                                time_point now)
{
    election_->handle_follower_request(request, from, now);
    if (request.vm.empty()) {
        membership_.remove_member(from.text());
        return;
    }
    membership_.record_request({request.vm, request.data_centre, from.text()}, request.store_unanswered_for,
                               inner::answer_sent_at(request, now), now);
}

void proxy_task::handle_lease_answer(const inner::lease_answer &answer, time_point requested_at)
{
    if (election_)
        election_->handle_leader_answer(answer, requested_at);
    if (!answer.acting)
        return;
    desired_state_.apply_peer_report(answer.desired_state_version, routes_.version(),
                                     requested_at - answer.desired_state_age);
    const auto listed_at = requested_at - answer.instances_age;
    const bool same = answer.instances_digest == instances_.digest();
    if (same || listed_at > instances_.confirmed_at())
        instance_list_.apply_peer_report(same, listed_at);
    if (same)
        instances_.record_peer_listing(listed_at);
    if (!answer.members.empty())
        update_members(answer.members, answer.members_version);
    for (const auto &it : answer.leases) {
        const auto group = groups_.find(it.service);
        if (group != groups_.end())
            group->second->handle_lease(it, requested_at);
    }
}

} // namespace baobabport::proxy
