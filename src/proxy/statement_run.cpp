// Selection of an instance, attempts, and classification of their answers.

#include "proxy/statement_run.h"

#include "support/boot_clock.h"
#include "support/json_log.h"

#include <algorithm>
#include <utility>

namespace baobabport::proxy {

using clock_type = support::boot_clock;
using directory::route_kind;
using session::answer_code;
using session::statement_kind;

std::chrono::milliseconds statement_run::share_of(std::chrono::milliseconds time, double share)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
}

statement_run::statement_run(event_base *base, statement_executor *executor, run_request request,
                             std::shared_ptr<session::session_context> session,
                             std::shared_ptr<group_task> group, std::shared_ptr<transaction> open_transaction)
    : base_(base), executor_(executor), request_(std::move(request)), session_(std::move(session)),
      group_(std::move(group)), transaction_(std::move(open_transaction)),
      deadline_(request_.arrived_at + request_.route->statement_timeout),
      wait_limit_(request_.arrived_at + share_of(request_.route->statement_timeout, wait_share))
{
}

void statement_run::start(done_hook done)
{
    done_ = std::move(done);
    if (transaction_ && transaction_->id != 0) {
        term_ = transaction_->term;
        at_primary_ = term_ > 0;
        send(transaction_->vm, transaction_->instance);
        return;
    }
    choose();
}

bool statement_run::is_commit() const
{
    return request_.parsed.kind == statement_kind::commit;
}

bool statement_run::changes_data() const
{
    if (transaction_)
        return is_commit() && transaction_->wrote;
    return request_.writes;
}

bool statement_run::needs_primary() const
{
    if (request_.route->kind == route_kind::primary)
        return true;
    return transaction_ ? !transaction_->read_only : request_.writes;
}

time_point statement_run::fresh_since() const
{
    const auto began = transaction_ ? transaction_->begun_at : request_.arrived_at;
    if (request_.route->kind == route_kind::primary)
        return began;
    return began - std::max(std::chrono::milliseconds(0), request_.route->max_staleness - staleness_margin);
}

std::optional<position> statement_run::read_floor() const
{
    const auto &state = group_->state();
    auto floor = state.floor_at(fresh_since());
    if (!floor || request_.route->kind != route_kind::read_your_writes)
        return floor;
    const auto own = session_->last_commit_position();
    if (!own)
        return floor;
    if (own->term == state.term())
        return std::max(*floor, *own);
    // The commit is of an earlier term: the log of the new primary contains it, unless it was lost with the
    // former primary. A read at the new primary's position therefore sees it if it was kept.
    const auto latest = state.latest_sample();
    return latest ? std::optional(std::max(*floor, latest->log)) : std::nullopt;
}

void statement_run::choose()
{
    if (needs_primary())
        choose_primary();
    else
        choose_reader();
}

void statement_run::choose_primary()
{
    const auto self = shared_from_this();
    const auto group = group_;
    group_->wait_until(
        [group] { return group->primary_pool() && !group->state().contested(); }, wait_limit_,
        [self](bool known) {
            if (self->stage_ != stage::waiting || self->abandoned_)
                return;
            const auto pool = self->group_->primary_pool();
            if (!known || !pool) {
                self->refuse("no primary is known");
                return;
            }
            self->at_primary_ = true;
            self->term_ = self->group_->state().term();
            const auto instance = pool->target().instance;
            self->send(self->executor_->home_of(instance, self->group_->data_centre_of(instance)), instance);
        });
}

void statement_run::choose_reader()
{
    const auto self = shared_from_this();
    const auto now = clock_type::now();
    const auto oldest = std::chrono::duration_cast<std::chrono::milliseconds>(now - fresh_since());
    group_->request_floor(share_of(oldest, floor_refresh_share), now);
    group_->wait_until(
        [weak = weak_from_this()] {
            const auto me = weak.lock();
            return !me || me->read_floor().has_value();
        },
        wait_limit_,
        [self](bool known) {
            if (self->stage_ != stage::waiting || self->abandoned_)
                return;
            if (!known) {
                self->refuse("how old the instances' data is cannot be told");
                return;
            }
            self->floor_ = self->read_floor();
            self->at_primary_ = false;
            self->offer_to_reader();
        });
}

void statement_run::offer_to_reader()
{
    const auto pool = group_->choose_for_read({floor_, offers_.excluded()}, clock_type::now());
    if (!pool) {
        if (offers_.start_round())
            retry(busy_delay);
        else
            refuse(overload_reason_);
        return;
    }
    const auto instance = pool->target().instance;
    offers_.record_offer(instance);
    send(executor_->home_of(instance, group_->data_centre_of(instance)), instance);
}

void statement_run::send(const std::string &vm, const std::string &instance)
{
    if (!take_token(instance))
        return;
    vm_ = vm;
    instance_ = instance;
    stage_ = stage::sent;
    judged_ = false;
    ++attempts_;
    sent_at_ = clock_type::now();
    slot_wait_until_ = slot_wait_until(sent_at_);
    const auto left = [this](time_point until) {
        return std::max(std::chrono::milliseconds(1),
                        std::chrono::duration_cast<std::chrono::milliseconds>(until - sent_at_));
    };
    inner::execute_request execution_request;
    execution_request.service = group_->identity().service;
    execution_request.instance = instance;
    execution_request.priority = request_.route->priority;
    execution_request.label = label();
    execution_request.time_left = left(deadline_);
    execution_request.wait_left = left(slot_wait_until_);
    execution_request.values = session_->values();
    execution_request.workspace = request_.workspace;
    execution_request.prepared = request_.prepared;
    execution_request.id = request_.id;
    execution_request.text = request_.text;
    if (request_.prepared)
        execution_request.text =
            platform::rename_execute(request_.text, request_.parsed.name, request_.prepared->peer_name())
                .value();
    if (transaction_) {
        execution_request.transaction = transaction_->id;
        execution_request.begin =
            transaction_->read_only ? inner::begin_mode::read_only : inner::begin_mode::read_write;
    }
    if (!at_primary_)
        execution_request.floor = floor_;
    group_->record_sent(instance, sent_at_);
    executor_->execute(vm, std::move(execution_request),
                       [self = shared_from_this(), instance, sent_at = sent_at_](const auto &answer) {
                           self->group_->record_returned(instance, sent_at);
                           self->handle_answer(answer);
                       });
}

std::string statement_run::label() const
{
    return request_.route->name + (request_.writes ? "/w" : "/r");
}

void statement_run::handle_answer(const inner::execute_answer &answer)
{
    if (answer.outcome == inner::execute_outcome::answered)
        group_->record_answer(instance_, answer.answer.end, sent_at_);
    judge_instance(answer);
    // Only reads that any instance may serve tell how fast the instances are beside each other.
    const bool comparable = !at_primary_ && !transaction_ && !request_.writes;
    if (comparable && answer.outcome == inner::execute_outcome::answered && !answer.answer.error)
        group_->record_duration(instance_, label(), sent_at_, clock_type::now());
    if (stage_ != stage::sent || abandoned_) {
        handle_late_answer(answer);
        return;
    }
    spend_token(answer);
    if (transaction_) {
        if (answer.outcome != inner::execute_outcome::answered)
            drop_transaction(); // it may still be open at its home
        transaction_->id = answer.transaction;
        if (answer.transaction != 0) {
            transaction_->vm = vm_;
            transaction_->instance = instance_;
            transaction_->term = at_primary_ ? term_ : 0;
        }
    }
    if (answer.outcome != inner::execute_outcome::answered)
        handle_loss(answer);
    else if (answer.answer.cut)
        handle_cut(*answer.answer.error);
    else if (answer.answer.error)
        handle_error(*answer.answer.error);
    else
        handle_success(answer.answer);
}

void statement_run::handle_late_answer(const inner::execute_answer &answer)
{
    // The caller was answered or has disconnected: a transaction that the statement left open is rolled back.
    if (answer.transaction != 0)
        executor_->end_transaction(vm_, answer.transaction);
}

void statement_run::log_failed_attempt(const char *outcome, const std::string &detail) const
{
    support::log_event("statement_attempt_failed", {{"id", request_.id},
                                                    {"instance", instance_},
                                                    {"home", vm_.empty() ? "here" : vm_},
                                                    {"attempt", std::to_string(attempts_)},
                                                    {"at_primary", at_primary_ ? "yes" : "no"},
                                                    {"term", std::to_string(group_->state().term())},
                                                    {"outcome", outcome},
                                                    {"detail", detail}});
}

void statement_run::handle_success(const session::statement_answer &answer)
{
    result_.rows = answer.rows;
    result_.receipt = answer.receipt;
    if (transaction_) {
        transaction_->forwarded = true;
        transaction_->wrote = transaction_->wrote || request_.writes;
    }
    stage_ = stage::confirming;
    if (changes_data()) {
        if (answer.end.log)
            session_->record_commit(*answer.end.log);
        confirm(clock_type::now());
        return;
    }
    if (at_primary_ && !request_.writes) {
        confirm(fresh_since());
        return;
    }
    finish();
}

void statement_run::confirm(time_point since)
{
    confirmation_request request;
    request.since = since;
    request.term = term_;
    request.deadline = deadline_;
    group_->confirm(request, [self = shared_from_this()](confirmation_result result) {
        if (self->stage_ != stage::confirming || self->abandoned_)
            return;
        if (result == confirmation_result::confirmed) {
            self->finish();
            return;
        }
        const bool replaced = result == confirmation_result::superseded;
        const auto *const reason =
            replaced ? "the primary was replaced" : "the primary could not be confirmed in time";
        if (self->changes_data())
            self->fail(answer_code::in_doubt, reason);
        else if (self->transaction_)
            self->fail(answer_code::aborted, reason);
        else if (replaced) {
            self->result_ = {};
            self->retry(std::chrono::milliseconds(0));
        } else
            self->fail(answer_code::timed_out, reason);
    });
}

void statement_run::fail(answer_code code, std::string text)
{
    result_ = {};
    result_.error = session::failure{code, std::move(text)};
    finish();
}

void statement_run::finish()
{
    return_token();
    stage_ = stage::finished;
    result_.instance = instance_;
    result_.ends_transaction = transaction_ && is_commit();
    result_.fails_transaction = transaction_ && result_.error && !result_.ends_transaction;
    retry_timer_.reset();
    const auto done = std::move(done_);
    done_ = nullptr;
    if (done)
        done(std::move(result_));
}

void statement_run::tick(time_point now)
{
    if (stage_ == stage::finished || now < deadline_)
        return;
    if (stage_ == stage::sent && home_is_used()) {
        group_->judge(instance_, false, now);
        judged_ = true;
    }
    if (stage_ == stage::waiting)
        return refuse("no instance took the statement in its time");
    finish_unanswered("the statement took longer than its route allows");
}

void statement_run::stop()
{
    if (stage_ == stage::finished)
        return;
    if (stage_ == stage::waiting)
        return refuse("the process stops");
    finish_unanswered("the process stops");
}

void statement_run::finish_unanswered(const std::string &reason)
{
    if (transaction_ && !is_commit()) {
        // The statement may still be running; ending its transaction rolls it back, and may answer it at
        // once.
        stage_ = stage::finished;
        drop_transaction();
        return fail(answer_code::aborted, reason);
    }
    fail(changes_data() ? answer_code::in_doubt : answer_code::timed_out, reason);
}

void statement_run::revoke(answer_code code, const std::string &text)
{
    revoked_ = session::failure{code, text};
    if (stage_ == stage::waiting)
        refuse_revoked();
}

void statement_run::refuse_revoked()
{
    const bool lost = transaction_ && transaction_->forwarded && revoked_->code == answer_code::busy;
    drop_transaction();
    fail(lost ? answer_code::aborted : revoked_->code, revoked_->text);
}

void statement_run::abandon()
{
    return_token();
    abandoned_ = true;
    done_ = nullptr;
    retry_timer_.reset();
}

} // namespace baobabport::proxy
