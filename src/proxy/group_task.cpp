// Members of a group, selection of instances, and conditions that statements wait for.

#include "proxy/group_task.h"

#include "directory/instance_directory.h"
#include "support/boot_clock.h"
#include "support/json_log.h"

#include <algorithm>

namespace baobabport::proxy {

using clock_type = support::boot_clock;
using support::log_event;

group_task::group_task(event_base *base, const statement_executor &executor, group_identity identity)
    : base_(base), executor_(executor), identity_(std::move(identity)),
      self_(std::make_shared<group_task *>(this))
{
}

void group_task::set_members(const std::vector<directory::instance_record> &records, std::uint32_t limit)
{
    std::set<std::string> present;
    for (const auto &it : records) {
        present.insert(it.id);
        state_.add_instance(it.id);
        auto &known = members_[it.id];
        const bool moved = known.pool && known.pool->target().at != it.at;
        known.record = it;
        if (!known.pool || moved) {
            if (known.pool)
                known.pool->retire();
            known.pool = make_pool(it, limit);
            // When this process starts, an instance that it does not know may have run for long.
            if (listed_ || it.warm_up > std::chrono::milliseconds(0))
                begin_cold(it.id, *known.pool, listed_ ? "joined" : "hint");
        }
        known.pool->set_limit(limit);
        known.pool->set_slots(it.slots);
    }
    listed_ = listed_ || !records.empty();
    outliers_.set_instances(present);
    score_.set_instances(present);
    for (auto it = members_.begin(); it != members_.end();) {
        if (present.count(it->first)) {
            ++it;
            continue;
        }
        const auto pool = it->second.pool;
        state_.erase_instance(it->first);
        it = members_.erase(it);
        pool->retire();
    }
}

void group_task::member_restarted(const std::string &id)
{
    state_.erase_instance(id);
    outliers_.record_restart(id, clock_type::now());
    const auto it = members_.find(id);
    if (it == members_.end())
        return;
    const auto pool = it->second.pool;
    members_.erase(it); // the next `set_members` adds it again, with connections to the new process
    pool->retire();
    outliers_.record_restart(id,
                             clock_type::now()); // the refusals of `retire` say nothing about the new process
}

void group_task::begin_cold(const std::string &id, instance_pool &pool, const char *reason)
{
    if (state_.primary() == id)
        return; // nobody else runs its statements
    pool.set_cold_since(clock_type::now());
    log_event("instance_cold", {{"service", identity_.service}, {"instance", id}, {"reason", reason}});
}

std::shared_ptr<instance_pool> group_task::make_pool(const directory::instance_record &record,
                                                     std::uint32_t limit)
{
    const std::weak_ptr<group_task *> weak = self_;
    const auto with_member = [weak, id = record.id](const std::function<void(member &)> &act) {
        const auto self = weak.lock();
        if (!self)
            return;
        const auto it = (*self)->members_.find(id);
        if (it != (*self)->members_.end())
            act(it->second);
    };
    instance_pool::health_hooks health;
    health.requested = [with_member] {
        with_member([](member &it) {
            if (!it.unanswered_since)
                it.unanswered_since = clock_type::now();
        });
    };
    health.answered = [with_member, weak] {
        with_member([&weak](member &it) {
            const auto now = clock_type::now();
            const auto self = weak.lock();
            // A statement that takes long is no silence.
            const bool lost = it.pool->take_lost();
            if (self && lost && it.unanswered_since && now - *it.unanswered_since >= silence_before_cold)
                (*self)->begin_cold(it.record.id, *it.pool, "answers again");
            it.unanswered_since.reset();
            it.answered_at = now;
            it.refuses = false;
            it.failing = false;
        });
    };
    health.failed = [with_member, id = record.id](const std::string &reason, bool absent) {
        with_member([&id, &reason, absent](member &it) {
            if (!it.failing)
                support::log_warning("instance_connection_failed", {{"instance", id}, {"reason", reason}});
            if (!it.unanswered_since)
                it.unanswered_since = clock_type::now();
            it.failing = true;
            // Only the last attempt counts: a lost connection does not show whether new ones are refused.
            it.refuses = absent;
            it.excluded_until = clock_type::now() + exclusion_period;
        });
    };
    auto pool = std::make_shared<instance_pool>(base_,
                                                upstream_target{.at = record.at,
                                                                .service = identity_.service,
                                                                .instance = record.id,
                                                                .caller = identity_.caller,
                                                                .memory = identity_.memory},
                                                limit, std::move(health));
    pool->set_home_check([weak, id = record.id] {
        const auto self = weak.lock();
        return self && (*self)->executor_.home_of(id, (*self)->data_centre_of(id)).empty();
    });
    return pool;
}

std::shared_ptr<instance_pool> group_task::primary_pool() const
{
    return state_.primary() ? pool_for_statements(*state_.primary(), clock_type::now()) : nullptr;
}

std::shared_ptr<instance_pool> group_task::pool_for_statements(const std::string &id, time_point now) const
{
    const auto it = members_.find(id);
    if (it == members_.end() || !directory::instance_directory::accepts_statements(it->second.record, now))
        return nullptr;
    return it->second.pool;
}

std::shared_ptr<instance_pool> group_task::pool_of(const std::string &id) const
{
    const auto it = members_.find(id);
    return it == members_.end() ? nullptr : it->second.pool;
}

std::shared_ptr<instance_pool> group_task::choose_for_read(const read_requirements &requirements,
                                                           time_point now) const
{
    std::shared_ptr<instance_pool> best;
    routing::instance_score::score best_cost{0};
    for (const auto &[id, it] : members_) {
        if (requirements.excluded.count(id) ||
            !directory::instance_directory::accepts_statements(it.record, now))
            continue;
        routing::read_candidate candidate;
        candidate.id = id;
        candidate.slots = it.record.slots;
        candidate.in_flight = static_cast<std::uint32_t>(it.sent.size());
        if (!it.sent.empty())
            candidate.oldest_sent_at = *it.sent.begin();
        candidate.in_own_data_centre = it.record.data_centre == identity_.data_centre;
        const auto applied = state_.applied(id);
        const bool recent = applied && now - applied->requested_at < behind_retry_delay;
        candidate.behind = requirements.floor && recent && applied->log < *requirements.floor;
        candidate.excluded = now < it.excluded_until || !it.pool->reachable(now);
        candidate.ejected = !outliers_.admits(id, candidate.in_flight, now);
        candidate.draining = it.record.state == directory::instance_state::draining;
        candidate.primary = state_.primary() == id;
        const auto cost = score_.cost(candidate, now);
        if (!best || cost < best_cost) {
            best = it.pool;
            best_cost = cost;
        }
    }
    return best;
}

void group_task::wait_until(std::function<bool()> condition, time_point deadline,
                            std::function<void(bool)> done)
{
    if (condition()) {
        done(true);
        return;
    }
    if (has_lease(clock_type::now())) {
        state_.confirm_by_lease(lease_term_, clock_type::now());
        if (condition()) {
            done(true);
            return;
        }
    }
    conditions_.push_back({std::move(condition), deadline, std::move(done)});
    query_replicas(clock_type::now());
}

void group_task::confirm(const confirmation_request &request, std::function<void(confirmation_result)> done)
{
    confirmations_.push_back({request, std::move(done)});
    const auto now = clock_type::now();
    if (has_lease(now))
        state_.confirm_by_lease(lease_term_, now);
    reevaluate_confirmations(now);
    query_replicas(now);
}

bool group_task::has_lease(time_point now) const
{
    return now < lease_until_ && lease_term_ == state_.term();
}

void group_task::handle_lease(const inner::primary_lease &lease, time_point requested_at)
{
    if (!members_.count(lease.primary))
        return; // the list of instances does not contain it yet
    const auto former = state_.primary();
    state_.adopt_primary(lease.primary, lease.term, lease.log, requested_at - lease.log_age);
    if (state_.primary() != former)
        log_event("primary_known", {{"service", identity_.service},
                                    {"instance", lease.primary},
                                    {"term", std::to_string(lease.term)},
                                    {"source", "lease"}});
    last_leader_update_at_ = clock_type::now();
    if (lease.granted && state_.primary() == lease.primary && state_.term() == lease.term) {
        lease_term_ = lease.term;
        lease_until_ = std::max(lease_until_, requested_at + failover::primary_lease_time);
    }
    reevaluate(clock_type::now());
}

std::optional<inner::primary_lease> group_task::lease_for_peers(time_point now) const
{
    const auto sample = state_.latest_sample();
    if (!state_.primary() || state_.contested() || !sample)
        return std::nullopt;
    inner::primary_lease out;
    out.service = identity_.service;
    out.primary = *state_.primary();
    out.term = state_.term();
    out.log = sample->log;
    out.log_age = std::chrono::ceil<std::chrono::milliseconds>(now - sample->requested_at);
    return out;
}

void group_task::record_answer(const std::string &id, const session::prompt &end, time_point sent_at)
{
    if (!end.log)
        return;
    state_.observe_applied(id, *end.log, sent_at);
    state_.observe_primary_log(id, *end.log, sent_at);
}

std::chrono::milliseconds group_task::time_since_answer(const std::string &id, time_point now) const
{
    const auto it = members_.find(id);
    const auto since = it == members_.end() ? time_point{} : it->second.answered_at;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
}

void group_task::record_sent(const std::string &id, time_point sent_at)
{
    const auto it = members_.find(id);
    if (it != members_.end())
        it->second.sent.insert(sent_at);
}

void group_task::record_returned(const std::string &id, time_point sent_at)
{
    const auto it = members_.find(id);
    if (it == members_.end())
        return;
    const auto found = it->second.sent.find(sent_at);
    if (found != it->second.sent.end()) // it is not there if the instance has restarted
        it->second.sent.erase(found);
}

void group_task::record_duration(const std::string &id, const std::string &label, time_point sent_at,
                                 time_point now)
{
    score_.record_answer(id, label, std::chrono::duration_cast<std::chrono::microseconds>(now - sent_at),
                         now);
}

std::string group_task::data_centre_of(const std::string &id) const
{
    const auto it = members_.find(id);
    return it == members_.end() ? std::string() : it->second.record.data_centre;
}

void group_task::reject_primary(const std::string &id)
{
    if (state_.primary() == id)
        log_event("primary_rejected", {{"service", identity_.service}, {"instance", id}});
    state_.reject_primary(id);
    search_primary(clock_type::now());
}

void group_task::judge(const std::string &id, bool good, time_point now)
{
    const bool was_ejected = outliers_.is_ejected(id, now);
    outliers_.record_answer(id, good, now);
    if (!was_ejected && outliers_.is_ejected(id, now))
        log_event("instance_ejected", {{"service", identity_.service}, {"instance", id}});
}

void group_task::exclude_temporarily(const std::string &id, time_point now)
{
    const auto it = members_.find(id);
    if (it != members_.end())
        it->second.excluded_until = now + exclusion_period;
}

void group_task::reevaluate(time_point now)
{
    if (has_lease(now))
        state_.confirm_by_lease(lease_term_, now);
    reevaluate_confirmations(now);
    reevaluate_conditions(now);
}

void group_task::reevaluate_confirmations(time_point now)
{
    std::list<waiting_confirmation> completed;
    std::vector<confirmation_result> results;
    for (auto it = confirmations_.begin(); it != confirmations_.end();) {
        const auto &request = it->request;
        std::optional<confirmation_result> result;
        if (state_.term() > request.term)
            result = confirmation_result::superseded;
        else if (state_.primary() && state_.confirmed_at() >= request.since)
            result = confirmation_result::confirmed;
        else if (now >= request.deadline)
            result = confirmation_result::expired;
        const auto next = std::next(it);
        if (result) {
            completed.splice(completed.end(), confirmations_, it);
            results.push_back(*result);
        }
        it = next;
    }
    std::size_t n = 0;
    for (auto &it : completed)
        it.done(results[n++]);
}

void group_task::reevaluate_conditions(time_point now)
{
    std::list<condition_waiter> completed;
    for (auto it = conditions_.begin(); it != conditions_.end();) {
        const auto next = std::next(it);
        if (it->condition() || now >= it->deadline)
            completed.splice(completed.end(), conditions_, it);
        it = next;
    }
    for (auto &it : completed)
        it.done(it.condition());
}

void group_task::tick(time_point now)
{
    std::vector<std::shared_ptr<instance_pool>> pools;
    for (const auto &it : members_) {
        pools.push_back(it.second.pool);
        if (state_.primary() == it.first)
            it.second.pool->set_cold_since(std::nullopt);
    }
    for (const auto &it : pools)
        it->tick(now);
    search_primary(now);
    refresh_floor(now);
    query_replicas(now);
    reevaluate(now);
}

failover::group_snapshot group_task::snapshot(time_point now) const
{
    failover::group_snapshot out;
    out.primary = state_.primary();
    out.term = state_.term();
    for (const auto &[id, it] : members_) {
        failover::member_view view;
        view.id = id;
        view.leaving = it.record.state == directory::instance_state::draining;
        view.refuses = it.refuses;
        if (it.unanswered_since)
            view.unresponsive_for =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - *it.unanswered_since);
        if (const auto *const report = state_.report_of(id))
            view.report = *report;
        out.members.push_back(std::move(view));
    }
    return out;
}

} // namespace baobabport::proxy
