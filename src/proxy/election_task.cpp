// The role of this process in the leader election and what that role permits, without the store calls.

#include "proxy/election_task.h"

#include "support/boot_clock.h"

#include <cmath>

namespace baobabport::proxy {

using failover::membership_tracker;

election_task::election_task(event_base *base, platform::metadata_client &store,
                             const proxy_settings &settings)
    : store_(store), vm_(settings.process), data_centre_(settings.data_centre), peer_(settings.peers),
      store_lease_time_(std::max(lease_time, settings.shortest_store_lease)),
      timer_(base, [this] { read_leadership(); }), renew_timer_(base, [this] { renew(); }),
      election_timer_(base, [this] { open_lease(); })
{
}

leadership_basis election_task::basis(time_point now) const
{
    if (!is_leader_ || resigned_)
        return leadership_basis::none;
    const auto by_store = validity_.basis(false, now);
    if (by_store != leadership_basis::none)
        return by_store;
    const bool autonomy_recorded = record_.autonomous_generation == own_generation_;
    const bool store_unavailable = store_.unanswered_for(now) >= membership_tracker::store_outage_threshold;
    return validity_.basis(autonomy_recorded && store_unavailable && peers_agree_(now), now);
}

std::optional<std::uint64_t> election_task::acting_generation(time_point now) const
{
    return basis(now) == leadership_basis::none ? std::nullopt : std::optional(own_generation_);
}

std::optional<std::uint64_t> election_task::assumed_generation() const
{
    return is_leader_ && !resigned_ ? std::optional(own_generation_) : std::nullopt;
}

std::optional<std::uint64_t> election_task::exclusive_generation(time_point now) const
{
    return is_leader_ && takeover_.is_exclusive(now) ? acting_generation(now) : std::nullopt;
}

bool election_task::may_replace(time_point now) const
{
    return takeover_.may_promote(now) && exclusive_generation(now);
}

std::optional<std::uint64_t> election_task::promotion_generation(time_point now) const
{
    if (!may_replace(now))
        return std::nullopt;
    const bool order_recorded =
        record_.ordered_by == self() && record_.autonomous_generation == own_generation_ && !clear_pending_;
    if (basis(now) == leadership_basis::lease && !order_recorded)
        return std::nullopt;
    return own_generation_;
}

void election_task::set_fleet_size(std::size_t processes)
{
    constexpr double recorded_change = 0.2; // of the recorded size; smaller changes are not worth a call
    const auto recorded = static_cast<double>(record_.fleet_size);
    if (std::abs(static_cast<double>(processes) - recorded) > recorded * recorded_change)
        fleet_size_ = static_cast<std::uint32_t>(processes);
}

void election_task::record_order(time_point now)
{
    last_order_at_ = now;
    update_record(now);
}

bool election_task::store_unresponsive(time_point now) const
{
    return is_leader_ && store_.unanswered_for(now) >= store_unresponsive_threshold;
}

std::chrono::milliseconds election_task::unconfirmed_for(time_point now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                 validity_.confirmed_at().value_or(now));
}

std::optional<leader_endpoint> election_task::remote_leader() const
{
    if (is_leader_)
        return std::nullopt;
    if (relayed_leader_ && relayed_leader_->generation > stored_generation_)
        return relayed_leader_; // elected since this process last read the store
    if (leader_revision_ == 0 || leader_ == vm_)
        return std::nullopt;
    return leader_endpoint{leader_, leader_data_centre_, leader_peer_, record_.generation};
}

void election_task::handle_leader_answer(const inner::lease_answer &answer, time_point requested_at)
{
    contacts_.record_answer(answer.generation, answer.leader_timestamp, requested_at);
    if (answer.store_check_requested)
        check_store(support::boot_clock::now());
    if (answer.acting && answer.generation == record_.generation)
        leader_answered_at_ = std::max(leader_answered_at_, requested_at);
}

bool election_task::handle_relayed_answer(const inner::lease_answer &answer, time_point requested_at)
{
    if (is_leader_ || answer.generation < record_.generation)
        return false;
    if (!answer.acting) {
        relay_searched_at_ = std::max(relay_searched_at_, requested_at);
        return true;
    }
    const auto at = support::parse_address(answer.leader.address);
    if (!at)
        return false;
    record_.generation = answer.generation; // this process no longer follows an earlier leader
    relayed_leader_ = leader_endpoint{answer.leader.vm, answer.leader.data_centre, *at, answer.generation};
    leader_answered_at_ = std::max(leader_answered_at_, requested_at);
    return true;
}

void election_task::fill_request(inner::lease_request &request, time_point now)
{
    request.leader_timestamp = contacts_.timestamp_of(request.generation);
    request.store_unanswered_for = store_.unanswered_for(now);
    request.earlier = contacts_.before(request.generation, now);
    if (request.store_unanswered_for >= membership_tracker::store_outage_threshold)
        contacts_.record_agreement(request.generation, now);
}

void election_task::handle_follower_request(const inner::lease_request &request, const support::address &from,
                                            time_point now)
{
    if (!request.vm.empty() && assumed_generation() == request.generation)
        takeover_.record_follower(request.vm + '@' + from.text(), request.earlier,
                                  inner::answer_sent_at(request, now), now);
}

void election_task::tick(time_point now)
{
    if (is_leader_)
        update_record(now);
    if (!relies_on_answers_ || awaits_leader(now) || relay_searches(now))
        return;
    relies_on_answers_ = false;
    read_leadership();
}

void election_task::resign()
{
    resigned_ = true;
    relies_on_answers_ = false;
    ++watch_number_;
    timer_.stop();
    renew_timer_.stop();
    election_timer_.stop();
    if (is_leader_)
        release_leadership();
}

} // namespace baobabport::proxy
