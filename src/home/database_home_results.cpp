// Answers of the instances, retries, and the release of held answers.

#include "home/database_home.h"

#include <algorithm>
#include <utility>

namespace baobabport::home {

using consistency::verdict;
using document::access_kind;
using inner::transaction_step;

namespace {

/// Returns true if the instance refused because it is not, or no longer, the primary of the call's term.
bool is_term_refusal(const std::string &reason)
{
    return reason == "not_primary" || reason == "wrong_term";
}

bool is_read(const inner::statement_request &request, const document::class_policy &policy)
{
    return policy.access == access_kind::read && request.step == transaction_step::none;
}

} // namespace

void database_home::connection_opened(connection_id id, time_point now)
{
    pool_.opened(id, now);
    dispatch(now);
}

void database_home::connection_failed(connection_id id, bool refused, time_point now)
{
    const auto *it = pool_.find(id);
    if (!it)
        return;
    const auto instance = it->instance;
    pool_.open_failed(id, now);
    monitor_.suspect(instance, refused, now);
}

void database_home::connection_lost(connection_id id, time_point now)
{
    const auto removed = pool_.remove(id);
    if (!removed)
        return;
    monitor_.suspect(removed->instance, false, now);
    const auto call = calls_.find(removed->call);
    const auto key = call == calls_.end() ? std::optional<request_key>() : call->second;
    if (key) {
        calls_.erase(call);
        --running_by_class_[requests_.at(*key).request.class_name];
        handle_lost(*key, now);
    }
    if (removed->in_transaction) {
        transactions_.connection_lost(id);
        fail_orphaned_requests(now);
    }
}

void database_home::fail_orphaned_requests(time_point now)
{
    std::vector<request_key> orphans;
    for (const auto &[key, state] : requests_) {
        const auto &request = state.request;
        const bool waits = state.phase == phase_kind::queued && !request.transaction.empty();
        if (waits && !transactions_.find(request.transaction, request.caller))
            orphans.push_back(key);
    }
    // The connection ended before these statements were sent, so the transaction was rolled back.
    for (const auto key : orphans)
        finish_as(key, verdict::not_run, "transaction_rolled_back", now);
}

void database_home::handle_lost(request_key key, time_point now)
{
    auto &state = requests_.at(key);
    const auto step = state.request.step;
    if (step == transaction_step::begin || step == transaction_step::statement ||
        step == transaction_step::rollback) {
        finish_as(key, verdict::not_run, "transaction_rolled_back", now);
        return;
    }
    if (may_retry(state, now)) {
        retry(key, state, now);
        return;
    }
    finish_as(key, defects_.report_lost_as_not_run ? verdict::not_run : verdict::unknown, "connection_lost",
              now);
}

bool database_home::may_retry(const request_state &state, time_point now)
{
    if (defects_.resend_unrepeatable_writes)
        return true;
    if (now >= state.deadline || state.request.step != transaction_step::none)
        return false;
    const bool read = is_read(state.request, state.policy);
    if (!read && (!state.policy.repeatable || state.tries > state.policy.retries))
        return false;
    return retries_.try_acquire();
}

void database_home::retry(request_key key, request_state &state, time_point now)
{
    ++counters_.retries;
    enqueue(key, state, now, true);
}

void database_home::handle_answer(connection_id connection, const upstream_result &result, time_point now)
{
    const auto *it = pool_.find(connection);
    if (!it)
        return;
    const auto call = calls_.find(result.call);
    const bool matched =
        it->state == connection_pool::state_kind::busy && it->call == result.call && call != calls_.end();
    if (!matched) {
        // A late, mismatched or repeated answer: further stale answers may follow on this connection.
        if (defects_.reuse_after_late_answer)
            pool_.end_call(connection, now);
        else
            close(connection, now);
        return;
    }
    if (result.outcome == call_outcome::lost) {
        close(connection, now);
        return;
    }
    const auto instance = it->instance;
    const auto key = call->second;
    calls_.erase(call);
    auto &state = requests_.at(key);
    --running_by_class_[state.request.class_name];
    durations_.finished(state.request.statement,
                        std::chrono::duration_cast<std::chrono::microseconds>(now - state.sent_at));
    pool_.end_call(connection, now);
    if (state.request.step != transaction_step::none)
        handle_transaction_step(key, state, instance, result, now);
    else if (result.outcome == call_outcome::refused)
        handle_refused(key, state, instance, result, now);
    else
        handle_ran(key, state, instance, result, now);
    release_held(now);
    dispatch(now);
}

void database_home::handle_refused(request_key key, request_state &state, instance_id instance,
                                   const upstream_result &result, time_point now)
{
    --state.tries;
    if (!is_term_refusal(result.reason)) {
        finish_as(key, state.tries == 0 ? verdict::not_run : verdict::unknown, result.reason, now);
        return;
    }
    monitor_.record_not_primary(instance, now);
    enqueue(key, state, now, true);
}

void database_home::handle_ran(request_key key, request_state &state, instance_id instance,
                               const upstream_result &result, time_point now)
{
    const bool read = is_read(state.request, state.policy);
    if (!result.repeated)
        monitor_.record_statement_answer(instance, result.at, state.sent_at);
    if (read && result.at < state.floor && !defects_.deliver_stale_reads) {
        monitor_.suspect(instance, false, now);
        retry(key, state, now);
        return;
    }
    auto &answer = state.answer;
    answer.outcome = verdict::ran;
    answer.rows = result.rows;
    answer.at = result.at;
    answer.served_by = settings_.instances[instance];
    answer.by_replica = monitor_.view().primary() != instance;
    if (read)
        ++(answer.by_replica ? counters_.reads_by_replica : counters_.reads_by_primary);
    hold_or_finish(key, state, now);
}

void database_home::handle_transaction_step(request_key key, request_state &state, instance_id instance,
                                            const upstream_result &result, time_point now)
{
    const auto step = state.request.step;
    const auto connection = state.connection;
    if (result.outcome == call_outcome::refused) {
        if (step == transaction_step::begin && is_term_refusal(result.reason)) {
            handle_refused(key, state, instance, result, now);
            return;
        }
        const auto reason = result.reason;
        if (step != transaction_step::begin)
            close(connection, now); // closing it rolls the transaction back
        finish_as(key, verdict::not_run, reason, now);
        return;
    }
    state.answer.outcome = verdict::ran;
    state.answer.rows = result.rows;
    state.answer.at = result.at;
    state.answer.served_by = settings_.instances[instance];
    state.answer.transaction = state.request.transaction;
    if (step == transaction_step::begin) {
        const auto id = settings_.database + '.' + std::to_string(settings_.vm_number) + '.' +
                        std::to_string(now.time_since_epoch().count()) + '.' +
                        std::to_string(next_transaction_++);
        transactions_.add(
            {id, connection, instance, monitor_.view().primary_term(), state.request.caller, now});
        pool_.pin(connection);
        pool_.end_call(connection, now);
        state.answer.transaction = id;
    }
    const bool ends_transaction = step == transaction_step::commit || step == transaction_step::rollback;
    if (ends_transaction) {
        transactions_.remove(state.request.transaction);
        pool_.unpin(connection);
        pool_.end_call(connection, now);
    }
    if (step == transaction_step::commit) {
        if (!result.repeated)
            monitor_.record_statement_answer(instance, result.at, state.sent_at);
        hold_or_finish(key, state, now);
        return;
    }
    // Effects of statements within a transaction are not visible to others; their answers are provisional.
    finish(key, state.answer, now);
}

void database_home::hold_or_finish(request_key key, request_state &state, time_point now)
{
    const bool has_effect = !is_read(state.request, state.policy);
    const bool relaxed = has_effect && state.policy.durability == document::durability_kind::primary;
    const bool plain = settings_.policy == policy_kind::plain;
    if (defects_.acknowledge_without_majority || relaxed || plain) {
        retries_.succeeded(document_->limits.retry_percent);
        finish(key, state.answer, now);
        return;
    }
    auto at = state.answer.at;
    const auto term = monitor_.view().primary_term();
    if (has_effect && at.term < term) {
        // A repeated request: it first ran in an earlier term, and this term's log includes that execution.
        at.term = term;
    }
    if (!has_effect && at.term < term && monitor_.view().durable_position(at.term) < at) {
        monitor_.suspect(monitor_.view().primary().value_or(0), false, now);
        retry(key, state, now);
        return;
    }
    std::optional<time_point> confirm_since;
    if (state.linearizable && !defects_.skip_read_confirmation)
        confirm_since = state.confirmation_since;
    state.phase = phase_kind::held;
    held_.hold(key, at, state.deadline, confirm_since);
}

void database_home::handle_answer(const command_result &result, time_point now)
{
    monitor_.handle_answer(result, now);
    release_held(now);
    tick(now);
}

void database_home::handle_answer(const inner::view_answer &answer, time_point now)
{
    monitor_.handle_answer(answer, document_->failover, now);
    tick(now);
}

void database_home::handle_promotion(const failover::failover_step::promotion &promoted, time_point now)
{
    ++counters_.promotions;
    hooks_.publish({settings_.database, promoted.term, promoted.primary});
    release(held_.rebase(promoted.base, promoted.term), now);
    // Writes and transactions that still run on another instance cannot become part of the new log.
    for (instance_id it = 0; it < settings_.instances.size(); ++it) {
        if (it == promoted.primary)
            continue;
        for (const auto &connection : pool_.of_instance(it)) {
            const auto call = calls_.find(connection.call);
            const bool write = call != calls_.end() && !is_read(requests_.at(call->second).request,
                                                                requests_.at(call->second).policy);
            if (write || connection.in_transaction)
                close(connection.id, now);
        }
    }
}

void database_home::release_held(time_point now)
{
    if (held_.size() == 0)
        return;
    const auto &view = monitor_.view();
    release(held_.collect(view, now), now);
    const bool promoting = monitor_.controller().current() != failover::failover_controller::phase::steady;
    if (!promoting)
        release(held_.remove_superseded(view.primary_term()), now);
}

void database_home::release(const std::vector<consistency::held_answers::release> &released, time_point now)
{
    using consistency::release_kind;
    for (const auto &it : released) {
        const auto found = requests_.find(it.id);
        if (found == requests_.end() || found->second.phase != phase_kind::held)
            continue;
        auto &state = found->second;
        const bool read = is_read(state.request, state.policy);
        const bool as_durable = it.kind == release_kind::lost && defects_.acknowledge_lost_writes;
        switch (as_durable ? release_kind::durable : it.kind) {
        case release_kind::durable:
            retries_.succeeded(document_->limits.retry_percent);
            if (!read)
                acknowledged_ = std::max(acknowledged_, state.answer.at);
            finish(it.id, state.answer, now);
            break;
        case release_kind::expired:
            finish_as(it.id, verdict::unknown, "not_replicated_in_time", now);
            break;
        case release_kind::lost:
            if (read)
                retry(it.id, state, now);
            else
                finish_as(it.id, verdict::unknown, "primary_replaced", now);
            break;
        }
    }
}

} // namespace baobabport::home
