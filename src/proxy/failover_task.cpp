#include "proxy/failover_task.h"

#include "support/json_log.h"

#include <set>
#include <string>
#include <utility>

namespace baobabport::proxy {

using failover::action_kind;
using failover::promotion_result;
using support::log_event;

namespace {

promotion_result result_of(platform::promotion_outcome outcome)
{
    switch (outcome) {
    case platform::promotion_outcome::accepted:
        return promotion_result::accepted;
    case platform::promotion_outcome::instance_absent:
        return promotion_result::absent;
    case platform::promotion_outcome::refused:
        return promotion_result::refused;
    case platform::promotion_outcome::not_sent:
        return promotion_result::not_sent;
    case platform::promotion_outcome::no_answer:
        break;
    }
    return promotion_result::uncertain;
}

} // namespace

failover_task::failover_task(std::shared_ptr<group_task> group, platform::promotion_client &client,
                             election_task &election, failover::lease_grantor &grantor,
                             std::function<std::uint32_t()> sync_replicas)
    : group_(std::move(group)), promotion_client_(client), election_(election), grantor_(grantor),
      sync_replicas_(std::move(sync_replicas))
{
}

void failover_task::tick(time_point now)
{
    const auto assumed_generation = election_.assumed_generation();
    if (assumed_generation.value_or(0) != generation_) {
        generation_ = assumed_generation.value_or(0);
        switchover_ = std::make_shared<failover::switchover>();
        exclusive_since_.reset();
        surveyed_term_ = 0;
    }
    const auto generation = election_.acting_generation(now);
    if (!generation)
        return; // a replacement in progress continues later, unless another process becomes leader
    auto snapshot = group_->snapshot(now);
    snapshot.may_replace = election_.may_replace(now);
    snapshot.leases_ended = grantor_.ended(group_->identity().service, now);
    snapshot.sync_replicas = sync_replicas_();
    probe_members(snapshot, now);
    const auto before = switchover_->current();
    for (const auto &it : switchover_->step(snapshot, now))
        perform(it, now);
    if (switchover_->current() == failover::switchover::phase::awaiting_primary)
        election_.record_order(now);
    survey(snapshot, now);
    grant(snapshot, now);
    if (switchover_->current() != before) {
        log_event("failover_step", {{"service", group_->identity().service},
                                    {"phase", std::to_string(static_cast<int>(switchover_->current()))},
                                    {"primary", snapshot.primary.value_or("none")},
                                    {"candidate", switchover_->candidate()},
                                    {"paused", switchover_->paused_instances()},
                                    {"sync_replicas", std::to_string(snapshot.sync_replicas)},
                                    {"term", std::to_string(snapshot.term)},
                                    {"generation", std::to_string(*generation)},
                                    {"reason", std::string(switchover_->last_reason())}});
    }
}

void failover_task::probe_members(const failover::group_snapshot &snapshot, time_point now)
{
    const bool replicas_due = now - replicas_probed_at_ >= replica_probe_interval;
    if (replicas_due)
        replicas_probed_at_ = now;
    for (const auto &it : snapshot.members) {
        if (snapshot.primary == it.id ? group_->time_since_answer(it.id, now) >= primary_probe_interval
                                      : replicas_due)
            group_->probe(it.id, true);
    }
}

void failover_task::survey(const failover::group_snapshot &snapshot, time_point now)
{
    if (!exclusive_since_ && election_.exclusive_generation(now))
        exclusive_since_ = now;
    if (!exclusive_since_ || surveyed_term_ == snapshot.term)
        return;
    std::set<std::string> stopped;
    for (const auto &it : snapshot.members) {
        if (it.refuses)
            stopped.insert(it.id);
    }
    const bool promoted_here = switchover_->current() == failover::switchover::phase::settling &&
                               snapshot.primary == switchover_->candidate();
    if (promoted_here || group_->state().excludes_successor(*exclusive_since_, stopped, now)) {
        surveyed_term_ = snapshot.term;
        return;
    }
    for (const auto &it : snapshot.members) {
        if (snapshot.primary != it.id)
            group_->probe(it.id, true);
    }
}

void failover_task::grant(const failover::group_snapshot &snapshot, time_point now)
{
    const auto &service = group_->identity().service;
    bool grantable = switchover_->current() == failover::switchover::phase::idle && snapshot.primary &&
                     surveyed_term_ == snapshot.term;
    for (const auto &it : snapshot.members) {
        if (snapshot.primary == it.id && (it.leaving || it.unresponsive_for >= lease_unresponsive_limit))
            grantable = false;
    }
    grantor_.withhold(service, !grantable);
    const auto own = group_->lease_for_peers(now);
    if (own && election_.exclusive_generation(now) && grantor_.may_grant(service, now))
        group_->handle_lease(*own, now);
    else
        group_->discard_lease();
}

void failover_task::command(const std::string &instance, const std::string &text,
                            group_task::report_hook done)
{
    group_->command(instance, text, std::move(done), [&election = election_, generation = generation_] {
        return election.acting_generation(support::boot_clock::now()) == generation;
    });
}

void failover_task::perform(const failover::action &what, time_point now)
{
    switch (what.kind) {
    case action_kind::pause:
        command(what.instance, platform::pause_text(what.term),
                [shared_switchover = switchover_, id = what.instance](const auto &report) {
                    if (report)
                        shared_switchover->record_pause(id, *report);
                });
        return;
    case action_kind::promote:
        promote(what.instance, now);
        return;
    case action_kind::step_down:
        command(what.instance, platform::step_down_text(what.term), [](const auto &) {});
        return;
    case action_kind::resume:
        command(what.instance, platform::resume_text(), [](const auto &) {});
        return;
    case action_kind::probe:
        group_->probe(what.instance, true);
        return;
    }
}

void failover_task::promote(const std::string &instance, time_point now)
{
    election_.record_order(now);
    const auto generation = election_.promotion_generation(now);
    if (!generation) {
        switchover_->record_promotion_result(promotion_result::not_sent, now);
        return;
    }
    const platform::promotion_order order{group_->identity().service, instance, election_.vm(), *generation,
                                          now};
    const auto done = [shared_switchover = switchover_, order](auto outcome, const auto &reason) {
        log_event("promotion_ordered", {{"service", order.service},
                                        {"instance", order.instance},
                                        {"generation", std::to_string(order.generation)},
                                        {"outcome", reason}});
        shared_switchover->record_promotion_result(result_of(outcome), support::boot_clock::now());
    };
    promotion_client_.promote(order, election_task::order_timeout, done, [&election = election_, generation] {
        return election.promotion_generation(support::boot_clock::now()) == generation;
    });
}

} // namespace baobabport::proxy
