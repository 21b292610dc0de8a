// The commands and status requests that a group's task sends to the instances.

#include "directory/instance_directory.h"
#include "proxy/group_task.h"
#include "support/boot_clock.h"
#include "support/json_log.h"

#include <algorithm>

namespace baobabport::proxy {

using clock_type = support::boot_clock;
using support::log_event;

void group_task::command(const std::string &id, const std::string &text, report_hook done,
                         std::function<bool()> still_valid)
{
    const auto pool = pool_of(id);
    if (!pool) {
        done(std::nullopt);
        return;
    }
    const std::weak_ptr<group_task *> weak = self_;
    const connection_request request{0, clock_type::now() + probe_timeout, nullptr};
    pool->acquire(request, [weak, id, text, pool, done = std::move(done),
                            still_valid = std::move(still_valid)](const auto &connection, auto) {
        if (!connection) {
            done(std::nullopt);
            return;
        }
        if (still_valid && !still_valid()) {
            pool->release(connection);
            done(std::nullopt);
            return;
        }
        const auto requested_at = clock_type::now();
        connection->deadline = requested_at + probe_timeout;
        connection->send(platform::own_statement_id, text,
                         [weak, id, pool, connection, requested_at, done](const auto &answer) {
                             std::optional<replication::member_report> report;
                             if (answer && !answer->error && !answer->rows.empty())
                                 report = platform::read_member_report(answer->rows.front());
                             const auto self = weak.lock();
                             if (answer)
                                 pool->release(connection);
                             if (self && report) {
                                 if (answer->end.log)
                                     (*self)->state_.observe_applied(id, *answer->end.log, requested_at);
                                 (*self)->handle_report(id, *report, requested_at);
                             }
                             done(report);
                         });
    });
}

void group_task::probe(const std::string &id, bool directly)
{
    const auto found = members_.find(id);
    const auto now = clock_type::now();
    if (found == members_.end())
        return;
    auto &request = directly ? found->second.direct : found->second.through_home;
    if (request.in_flight && now - request.sent_at < probe_timeout)
        return;
    request = {now, true};
    state_.record_request(id, now);
    const std::weak_ptr<group_task *> weak = self_;
    const report_hook done = [weak, id, directly](const auto &report) {
        const auto self = weak.lock();
        if (!self)
            return;
        const auto it = (*self)->members_.find(id);
        if (it != (*self)->members_.end())
            (directly ? it->second.direct : it->second.through_home).in_flight = false;
        // Without a report, the next tick sends the next request: a failure may be reported synchronously.
        if (report)
            (*self)->query_replicas(clock_type::now());
    };
    if (directly)
        command(id, platform::status_text(), done);
    else
        probe_through_home(id, done);
}

void group_task::probe_through_home(const std::string &id, const report_hook &done)
{
    inner::execute_request execution_request;
    execution_request.service = identity_.service;
    execution_request.instance = id;
    execution_request.time_left = probe_timeout;
    execution_request.wait_left = probe_timeout;
    execution_request.id = platform::own_statement_id;
    execution_request.text = platform::status_text();
    const auto requested_at = clock_type::now();
    const std::weak_ptr<group_task *> weak = self_;
    executor_.execute(executor_.home_of(id, data_centre_of(id)), std::move(execution_request),
                      [weak, id, requested_at, done](const inner::execute_answer &answer) {
                          std::optional<replication::member_report> report;
                          if (answer.outcome == inner::execute_outcome::answered && !answer.answer.error &&
                              !answer.answer.rows.empty())
                              report = platform::read_member_report(answer.answer.rows.front());
                          const auto self = weak.lock();
                          if (self && report)
                              (*self)->handle_report(id, *report, requested_at);
                          done(report);
                      });
}

void group_task::handle_report(const std::string &id, const replication::member_report &report,
                               time_point requested_at)
{
    const auto former = state_.primary();
    const auto former_term = state_.term();
    const bool was_contested = state_.contested();
    const auto was_confirmed_at = state_.confirmed_at();
    state_.observe(id, report, requested_at);
    if (state_.confirmed_at() > was_confirmed_at && !confirmations_.empty()) {
        support::log_routine("primary_confirmed", {{"service", identity_.service},
                                                   {"primary", state_.primary().value_or("none")},
                                                   {"term", std::to_string(state_.term())},
                                                   {"replica", id},
                                                   {"replica_term", std::to_string(report.term)},
                                                   {"received", std::to_string(report.received.offset)},
                                                   {"paused_at", std::to_string(report.paused_at)},
                                                   {"waiting", std::to_string(confirmations_.size())}});
    }
    if (state_.primary() != former || state_.term() != former_term) {
        log_event("primary_known", {{"service", identity_.service},
                                    {"instance", state_.primary().value_or("none")},
                                    {"term", std::to_string(state_.term())}});
    }
    if (state_.contested() && !was_contested) {
        log_event("primary_contested", {{"service", identity_.service},
                                        {"replica", id},
                                        {"paused_at", std::to_string(report.paused_at)},
                                        {"term", std::to_string(report.term)}});
    }
    reevaluate(clock_type::now());
}

void group_task::probe_replicas(time_point now)
{
    for (const auto &[id, it] : members_) {
        // The home process of a draining instance rejects status requests, too.
        const bool directly = !directory::instance_directory::accepts_statements(it.record, now);
        if (state_.primary() != id)
            probe(id, directly);
    }
}

void group_task::query_replicas(time_point now)
{
    const bool floor_stale = !conditions_.empty();
    if (confirmations_.empty() && !floor_stale)
        return;
    // During a promotion, the search for the primary sends status requests to all instances.
    const bool searching = state_.contested() || !state_.primary();
    if (now - confirmations_requested_at_ < (searching ? search_interval : confirm_interval))
        return;
    confirmations_requested_at_ = now;
    if (floor_stale && state_.primary())
        probe(*state_.primary());
    bool confirmation_needed = floor_stale;
    for (const auto &it : confirmations_)
        confirmation_needed = confirmation_needed || state_.confirmed_at() < it.request.since;
    if (confirmation_needed)
        probe_replicas(now);
}

void group_task::search_primary(time_point now)
{
    if (state_.primary() && !state_.contested())
        return;
    if (now - searched_at_ < search_interval || now - last_leader_update_at_ < leader_update_lifetime)
        return;
    searched_at_ = now;
    for (const auto &it : members_)
        probe(it.first);
}

void group_task::request_floor(milliseconds max_age, time_point now)
{
    max_age = std::max(max_age, max_reported_age);
    if (now - floor_requested_at_ > floor_refresh_period || max_age < floor_age_)
        floor_age_ = max_age;
    floor_requested_at_ = now;
}

void group_task::refresh_floor(time_point now)
{
    if (now - floor_requested_at_ > floor_refresh_period || !state_.primary())
        return;
    if (state_.floor_at(now - floor_age_))
        return;
    const bool reports = now - position_reported_at_ <= floor_refresh_period;
    probe(*state_.primary(), reports);
    if (!has_lease(now))
        probe_replicas(now);
}

} // namespace baobabport::proxy
