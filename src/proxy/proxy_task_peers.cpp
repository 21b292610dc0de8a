// The proxy's exchange with the other processes: leadership, primary leases, members and the state of the
// store.

#include "platform/record_codec.h"
#include "proxy/proxy_task.h"
#include "support/boot_clock.h"
#include "support/json_log.h"

#include <algorithm>
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
        relay_assignment_.begin();
        member_log_.begin(*assumed_generation);
        lease_source_.clear();
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
    if (!isolated_ && known_members_.empty() &&
        now - started_at_ >= admission::connection_share::isolation_delay) {
        isolated_ = true;
        update_groups();
    }
    if (!peers_ && !election_->peer_key().empty()) {
        peers_.emplace(
            base_,
            peer_identity{settings_.process, settings_.data_centre, settings_.peers, election_->peer_key()},
            local_executor_, limits_);
        peers_->set_quotas(
            [this](auto kind, const auto &body) { return quotas_.answer(kind, body, clock_type::now()); });
        peers_->set_directory([this](auto part) { return directory(part); });
        peers_->set_members(known_members_);
    }
    if (!election_->acting_generation(now))
        return;
    std::uint64_t version = 0;
    auto members = membership_.list(now, version);
    if (version == members_version_ && !member_log_.members().empty())
        return;
    members_version_ = version;
    members.push_back({settings_.process, settings_.data_centre, settings_.peers.text()});
    member_log_.update(members);
    election_->set_fleet_size(std::max<std::size_t>(
        members.size(), quotas_.account().empty() ? 0 : quotas_.account().divisor().value_or(0)));
    update_members(std::move(members));
}

quota_task::link_hooks proxy_task::quota_links()
{
    return {[this](const auto &name) {
                auto out = peers_ ? peers_->reachable_ranks(name, clock_type::now())
                                  : std::vector<std::string>{std::string()};
                // The others do not list a process that stops.
                if (shutdown_.begun() && out.size() > 1)
                    std::erase(out, std::string());
                return out;
            },
            [this](const auto &vm, auto kind, auto body, auto timeout, auto done) {
                peers_->exchange(vm, kind, std::move(body), timeout, std::move(done));
            }};
}

void proxy_task::tick_quotas(time_point now)
{
    auto &fleet = quotas_.account().fleet();
    if (!election_) {
        fleet.set_alone();
    } else {
        fleet.record_size(election_->recorded_fleet_size());
        if (election_->acting_generation(now)) {
            fleet.record_contact(now);
            // A process that starts while others are separated from this one must count them, too.
            if (!quotas_.account().empty())
                election_->set_fleet_size(
                    std::max<std::size_t>(known_members_.size(), quotas_.account().divisor().value_or(0)));
        }
    }
    quotas_.tick(now);
}

void proxy_task::update_members(std::vector<inner::member> members)
{
    const bool homes_were_known = !known_members_.empty();
    known_members_ = std::move(members);
    members_changed_at_ = clock_type::now();
    if (!homes_were_known)
        update_groups(); // with the connection limit of a home
    if (peers_)
        peers_->set_members(known_members_);
    std::vector<std::string> vms;
    for (const auto &it : known_members_)
        vms.push_back(it.vm);
    quotas_.account().fleet().record_list(vms, members_changed_at_);
    quotas_.deposit_soon(members_changed_at_);
    log_event("members_known", {{"members", std::to_string(known_members_.size())}});
}

void proxy_task::copy_members(const inner::lease_answer &answer)
{
    if (answer.part.generation != 0) {
        const auto generation = member_log_.generation();
        const auto version = member_log_.version();
        if (!member_log_.apply(answer.part) || !member_log_.complete())
            return;
        if (member_log_.generation() != generation || member_log_.version() != version)
            update_members(member_log_.members());
    } else if (!answer.members.empty() && answer.members_version != members_version_) {
        members_version_ = answer.members_version;
        auto members = answer.members;
        // A leader of an older build does not list itself.
        if (const auto leader = election_ ? election_->remote_leader() : std::nullopt)
            members.push_back({leader->vm, leader->data_centre, leader->at.text()});
        update_members(std::move(members));
    }
}

std::optional<leader_endpoint> proxy_task::lease_receiver()
{
    auto out = election_ ? election_->remote_leader() : std::nullopt;
    if (!out)
        return std::nullopt;
    relays_named_ = false;
    if (const auto relay = support::parse_address(lease_source_.next()))
        out->at = *relay;
    return out;
}

void proxy_task::fill_request(inner::lease_request &request)
{
    if (election_)
        election_->fill_request(request, clock_type::now());
    request.members_known = members_version_;
    // A process that omits its name gets leases but no statements: the others choose another home.
    if (!shutdown_.begun())
        request.vm = settings_.process;
    request.data_centre = settings_.data_centre;
    request.accepts_relay = true;
    request.list_generation = member_log_.generation();
    request.list_version = member_log_.version();
    if (!lease_source_.asks_relay())
        relay_.fill_request(request, clock_type::now());
}

std::optional<inner::lease_answer> proxy_task::answer_request(const inner::lease_request &request,
                                                              const support::address &from)
{
    const auto now = clock_type::now();
    const auto assumed_generation = election_ ? election_->assumed_generation() : std::nullopt;
    if (!assumed_generation) {
        auto relayed =
            shutdown_.begun() ? std::nullopt : relay_.answer(request, from.text(), member_log_, now);
        if (relayed && relayed->acting)
            add_directory_state(*relayed, now);
        return relayed;
    }
    if (assumed_generation != membership_generation_ || *assumed_generation != request.generation)
        return std::nullopt;
    inner::lease_answer out;
    out.generation = *assumed_generation;
    out.number = request.number;
    out.leader_timestamp = inner::timestamp_of(now);
    out.acting = election_->acting_generation(now).has_value();
    // Also of a process that is referred to a relay: it may be the earlier leader, started again.
    election_->handle_follower_request(request, from, now);
    if (out.acting && request.accepts_relay && !request.vm.empty()) {
        const bool must_answer = membership_.was_answered(from.text()) || election_->needs_report_of(request);
        out.relays = relay_assignment_.relays_for(from.text(), request.data_centre, must_answer, now);
        if (!out.relays.empty())
            return out;
    }
    track_follower(request, from, now);
    out.store_check_requested = election_->store_unresponsive(now);
    if (!out.acting)
        return out;
    const bool exclusive = election_->exclusive_generation(now) && granting_generation_ == assumed_generation;
    add_directory_state(out, now);
    out.followers_version = membership_.followers_version(from.text());
    if (request.accepts_relay) {
        out.part = member_log_.changes_since(request.list_generation, request.list_version);
    } else {
        const auto &members = membership_.list(now, out.members_version);
        if (out.members_version != request.members_known)
            out.members = members;
    }
    add_leases(out, exclusive, now);
    return out;
}

void proxy_task::add_directory_state(inner::lease_answer &answer, time_point now) const
{
    const auto age = [now](time_point at) { return std::chrono::ceil<milliseconds>(now - at); };
    answer.desired_state_version = routes_.version();
    answer.desired_state_age = age(desired_state_.confirmed_at());
    answer.instances_digest = instances_.digest();
    answer.instances_age = age(instances_.confirmed_at());
}

void proxy_task::apply_directory_report(const inner::lease_answer &answer, time_point requested_at)
{
    desired_state_.apply_peer_report(answer.desired_state_version, routes_.version(),
                                     requested_at - answer.desired_state_age);
    const auto listed_at = requested_at - answer.instances_age;
    const bool same = answer.instances_digest == instances_.digest();
    if (same || listed_at > instances_.confirmed_at())
        instance_list_.apply_peer_report(same, listed_at);
    if (same)
        instances_.record_peer_listing(listed_at);
}

peer_read proxy_task::peer_read_of(inner::directory_part part)
{
    return [this, part](auto done) {
        const auto relay = lease_source_.relay();
        if (!peers_ || relay.empty())
            return false;
        const auto at = support::parse_address(relay);
        if (!at)
            return false;
        peers_->read_directory(*at, part, [done = std::move(done)](const auto &answer) {
            done(answer ? std::optional(answer->items) : std::nullopt);
        });
        return true;
    };
}

inner::directory_answer proxy_task::directory(inner::directory_part part) const
{
    inner::directory_answer out;
    switch (part) {
    case inner::directory_part::desired_state:
        out.available = !desired_state_.value().empty();
        out.items = {{platform::desired_state_key, desired_state_.value()}};
        break;
    case inner::directory_part::instances:
        out.available = !instance_list_.items().empty();
        out.items = instance_list_.items();
        break;
    }
    return out;
}

void proxy_task::add_leases(inner::lease_answer &answer, bool exclusive, time_point now)
{
    for (const auto &[service, group] : groups_) {
        group->request_reported_position(now);
        auto lease = group->lease_for_peers(now);
        if (!lease)
            continue;
        lease->granted = exclusive && grantor_.may_grant(service, now);
        if (lease->granted)
            grantor_.record_grant(service, now);
        answer.leases.push_back(*lease);
    }
}

void proxy_task::track_follower(const inner::lease_request &request, const support::address &from,
                                time_point now)
{
    if (request.vm.empty()) {
        membership_.remove_member(from.text());
        relay_assignment_.remove(from.text());
        return;
    }
    membership_.record_request({request.vm, request.data_centre, from.text()}, request.store_unanswered_for,
                               inner::answer_sent_at(request, now), now);
    if (request.followers)
        membership_.record_followers(from.text(), request.followers_version, *request.followers);
}

void proxy_task::handle_lease_answer(const inner::lease_answer &answer, time_point requested_at)
{
    if (!election_)
        return;
    if (!answer.relays.empty()) {
        lease_source_.set_relays(answer.relays);
        relays_named_ = true;
        relay_.clear();
        return;
    }
    const auto asked_at = requested_at;
    if (answer.relayed_age) {
        if (!election_->handle_relayed_answer(answer, requested_at))
            return;
        if (answer.acting)
            lease_source_.record_answer();
        requested_at -= *answer.relayed_age;
    } else {
        election_->handle_leader_answer(answer, requested_at);
        const auto leader = election_->remote_leader();
        if (answer.acting && leader && leader->generation == answer.generation) {
            lease_source_.clear();
            relay_.record_answer(answer, {leader->vm, leader->data_centre, leader->at.text()}, requested_at);
        }
    }
    if (!answer.acting)
        return;
    quotas_.account().fleet().record_contact(requested_at);
    apply_directory_report(answer, asked_at);
    copy_members(answer);
    for (const auto &it : answer.leases) {
        const auto group = groups_.find(it.service);
        if (group != groups_.end())
            group->second->handle_lease(it, requested_at);
    }
}

} // namespace baobabport::proxy
