// What a failed attempt means for its statement, and whether and when the next attempt follows.

#include "proxy/statement_run.h"

#include "support/boot_clock.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace baobabport::proxy {

using clock_type = support::boot_clock;
using session::answer_code;

namespace {

/// Returns whether the error speaks for its instance, or none if it says nothing about it.
std::optional<bool> judge(answer_code code)
{
    switch (code) {
    case answer_code::busy:
    case answer_code::timed_out:
    case answer_code::failed:
        return false;
    case answer_code::malformed:
    case answer_code::unknown_name:
        return true;
    default:
        return std::nullopt; // of its role, its log, or all processes' connections
    }
}

} // namespace

bool statement_run::home_is_used() const
{
    return executor_->home_of(instance_, group_->data_centre_of(instance_)) == vm_;
}

void statement_run::judge_instance(const inner::execute_answer &answer)
{
    if (judged_)
        return;
    judged_ = true;
    std::optional<bool> good;
    const auto now = clock_type::now();
    if (answer.outcome == inner::execute_outcome::answered) {
        good = answer.answer.error ? judge(answer.answer.error->code) : true;
    } else {
        // After a failure of its own, the home is not used for some time.
        const bool waited = answer.overloaded || now >= slot_wait_until_;
        const bool lost = answer.outcome == inner::execute_outcome::lost;
        const bool in_transaction = transaction_ && transaction_->forwarded;
        if (home_is_used() && (lost || (!waited && !in_transaction)))
            good = false;
    }
    if (good)
        group_->judge(instance_, *good, now);
}

void statement_run::handle_loss(const inner::execute_answer &answer)
{
    log_failed_attempt(answer.outcome == inner::execute_outcome::lost ? "may have run" : "not run",
                       answer.reason);
    const bool may_have_run = answer.outcome == inner::execute_outcome::lost;
    if (may_have_run)
        group_->exclude_temporarily(instance_, clock_type::now());
    if (transaction_ && (transaction_->forwarded || is_commit())) {
        if (is_commit() && may_have_run && transaction_->wrote)
            return fail(answer_code::in_doubt, "the answer to the commit was lost: " + answer.reason);
        return fail(answer_code::aborted, answer.reason);
    }
    if (may_have_run && request_.writes && !transaction_)
        return fail(answer_code::in_doubt, "the answer to the write was lost: " + answer.reason);
    stage_ = stage::waiting;
    // A read whose wait for a connection took all its time is not to wait there again. A statement for the
    // primary may wait for its replacement.
    const bool waited = !may_have_run && !needs_primary() && clock_type::now() >= slot_wait_until_;
    refused_ = answer.overloaded || waited;
    if (refused_)
        return handle_overload(answer.reason);
    // Another instance is asked at once; the same one after the time of a statement.
    retry(may_have_run || !needs_primary() ? std::chrono::milliseconds(0) : busy_delay);
}

void statement_run::handle_overload(const std::string &reason)
{
    if (needs_primary())
        return refuse(reason);
    overload_reason_ = reason;
    offers_.record_end(instance_, routing::offer_end::overloaded);
    retry(std::chrono::milliseconds(0));
}

void statement_run::handle_error(const session::failure &error)
{
    log_failed_attempt("error", std::string(platform::code_word(error.code)) + ' ' + error.text);
    if (error.code == answer_code::read_only && at_primary_)
        group_->reject_primary(instance_);
    const bool first_of_transaction = transaction_ && !transaction_->forwarded;
    const bool repeatable = session::proves_not_run(error.code) || (!request_.writes && !is_commit());
    if (error.code != answer_code::malformed && repeatable && (!transaction_ || first_of_transaction)) {
        if (error.code == answer_code::failed || error.code == answer_code::timed_out)
            group_->exclude_temporarily(instance_, clock_type::now());
        stage_ = stage::waiting;
        refused_ = error.code == answer_code::busy;
        if (refused_ && !needs_primary())
            offers_.record_end(instance_, routing::offer_end::shed);
        retry(refused_ && needs_primary() ? busy_delay : std::chrono::milliseconds(0));
        return;
    }
    if (!transaction_)
        return fail(error.code, error.text);
    if (is_commit() && transaction_->wrote && !session::proves_not_run(error.code))
        return fail(answer_code::in_doubt, error.text);
    fail(error.code == answer_code::malformed ? error.code : answer_code::aborted, error.text);
}

void statement_run::handle_cut(const session::failure &error)
{
    log_failed_attempt("error", error.text);
    // The statement has run, and every instance's answer would be too long.
    if (changes_data())
        return fail(answer_code::in_doubt, error.text);
    fail(transaction_ && !is_commit() ? answer_code::aborted : error.code, error.text);
}

time_point statement_run::slot_wait_until(time_point now) const
{
    const auto target = request_.route->target_latency;
    const auto by_target = request_.arrived_at + share_of(target, slot_wait_share);
    const auto retry_wait = refused_ ? refused_retry_wait : share_of(target, retry_wait_share);
    const auto at_least = attempts_ > 1 ? now + retry_wait : now;
    return std::min(deadline_, std::max(by_target, at_least));
}

void statement_run::drop_transaction()
{
    if (!transaction_ || transaction_->id == 0)
        return;
    executor_->end_transaction(transaction_->vm, transaction_->id);
    transaction_->id = 0;
}

void statement_run::retry(std::chrono::milliseconds delay)
{
    stage_ = stage::waiting;
    if (revoked_)
        return refuse_revoked();
    if (attempts_ >= max_attempts || clock_type::now() >= deadline_) {
        refuse("no instance ran the statement");
        return;
    }
    if (clock_type::now() >= wait_limit_ && attempts_ == 0) {
        refuse("no instance took the statement");
        return;
    }
    drop_transaction(); // it is open at the instance and home process of the last attempt
    if (needs_primary())
        return_token(); // statements that wait for a replacement would all run together after it
    if (attempts_ > 0)
        wait_limit_ = deadline_; // applies to the wait for a primary or a floor; slots have their own limit
    retry_timer_ = std::make_unique<inner::timer>(base_, [self = shared_from_this()] {
        if (self->stage_ == stage::waiting && !self->abandoned_)
            self->choose();
    });
    retry_timer_->start(delay);
}

void statement_run::refuse(const std::string &reason)
{
    // No part of the statement has run, except possibly a read.
    const bool has_hint = reason.find("; retry in ") != std::string::npos; // of the instance's home
    fail(transaction_ && transaction_->forwarded ? answer_code::aborted : answer_code::busy,
         has_hint ? reason : reason + "; retry in 100 ms");
}

} // namespace baobabport::proxy
