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
using session::transaction_state;

namespace {

std::chrono::milliseconds share_of(std::chrono::milliseconds time, double share)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
}

} // namespace

void return_connection(const std::shared_ptr<instance_pool> &pool, const instance_pool::connection &it)
{
    if (it->is_closed())
        return;
    if (it->state() == transaction_state::none) {
        pool->release(it);
        return;
    }
    it->give_up_at = support::boot_clock::now() + statement_run::late_answer;
    it->send(platform::own_statement_id, platform::rollback_text(), [pool, it](const auto &answer) {
        if (answer && answer->end.state == transaction_state::none)
            pool->release(it);
        else
            pool->drop(it);
    });
}

statement_run::statement_run(event_base *base, run_request request,
                             std::shared_ptr<session::session_context> session,
                             std::shared_ptr<group_task> group, std::shared_ptr<transaction> within)
    : base_(base), request_(std::move(request)), session_(std::move(session)), group_(std::move(group)),
      within_(std::move(within)), deadline_(request_.arrived_at + request_.route->statement_timeout),
      wait_limit_(request_.arrived_at + share_of(request_.route->statement_timeout, wait_share))
{
}

void statement_run::start(done_hook done)
{
    done_ = std::move(done);
    if (within_ && within_->connection) {
        pool_ = within_->pool;
        connection_ = within_->connection;
        term_ = within_->term;
        at_primary_ = term_ > 0;
        prepare_connection();
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
    if (within_)
        return is_commit() && within_->wrote;
    return request_.writes;
}

bool statement_run::needs_primary() const
{
    if (request_.route->kind == route_kind::primary)
        return true;
    return within_ ? !within_->read_only : request_.writes;
}

time_point statement_run::trusted_since() const
{
    const auto began = within_ ? within_->begun_at : request_.arrived_at;
    if (request_.route->kind == route_kind::primary)
        return began;
    return began - std::max(std::chrono::milliseconds(0), request_.route->max_staleness - staleness_margin);
}

std::optional<position> statement_run::read_floor() const
{
    const auto &state = group_->state();
    auto floor = state.floor_at(trusted_since());
    if (!floor || request_.route->kind != route_kind::read_your_writes)
        return floor;
    const auto own = session_->own_floor();
    if (!own)
        return floor;
    if (own->term == state.term())
        return std::max(*floor, *own);
    // Of an earlier term: the new primary's log says what was kept of it.
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
    group_->wait_until([group] { return group->primary_pool() && !group->state().contested(); }, wait_limit_,
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
                           self->acquire(pool);
                       });
}

void statement_run::choose_reader()
{
    const auto self = shared_from_this();
    group_->want_floor(clock_type::now());
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
            const auto pool = self->group_->choose_for_read({self->floor_, self->tried_}, clock_type::now());
            if (!pool) {
                self->tried_.clear();
                self->retry(busy_delay);
                return;
            }
            self->tried_.insert(pool->target().instance);
            self->acquire(pool);
        });
}

void statement_run::acquire(const std::shared_ptr<instance_pool> &pool)
{
    pool_ = pool;
    const connection_request request{request_.route->priority, wait_limit_, {session_, &session_->values()}};
    pool->acquire(request, [self = shared_from_this()](const auto &connection, auto reason) {
        if (self->stage_ != stage::waiting || self->abandoned_) {
            if (connection)
                self->pool_->release(connection);
            return;
        }
        if (!connection) {
            if (reason == no_connection::waited_too_long)
                self->refuse("all connections are in use");
            else
                self->retry(busy_delay);
            return;
        }
        self->connection_ = connection;
        self->prepare_connection();
    });
}

void statement_run::prepare_connection()
{
    const auto self = shared_from_this();
    auto &it = *connection_;
    it.give_up_at = deadline_ + late_answer;
    const bool in_transaction = it.state() != transaction_state::none;
    struct progress
    {
        int open = 1; ///< answers to come, and this function's own
        bool failed = false;
    };
    const auto state = std::make_shared<progress>();
    const auto one_done = [self, state](bool ok) {
        state->failed = state->failed || !ok;
        if (--state->open > 0)
            return;
        if (state->failed) {
            self->take_loss();
            return;
        }
        self->send_begin();
    };
    const auto send = [&it, state, one_done](const std::string &text) {
        ++state->open;
        it.send(platform::own_statement_id, text,
                [one_done](const auto &answer) { one_done(answer && !answer->error); });
    };
    const auto &wanted = session_->values();
    const bool has_others = std::any_of(it.values.begin(), it.values.end(),
                                        [&wanted](const auto &value) { return !wanted.count(value.first); });
    if (has_others && !in_transaction) {
        it.values.clear();
        it.prepared.clear();
        send(platform::reset_text());
    }
    for (const auto &[name, value] : wanted) {
        const auto known = it.values.find(name);
        if (known != it.values.end() && known->second == value)
            continue;
        it.values[name] = value;
        send(platform::set_text(name, value));
    }
    if (request_.prepared && it.prepared.insert(request_.prepared->shared_name()).second)
        send(platform::prepare_text(*request_.prepared));
    one_done(true);
}

void statement_run::send_begin()
{
    if (stage_ != stage::waiting || abandoned_) {
        give_back_connection();
        return;
    }
    if (!within_ || within_->connection) {
        send_statement();
        return;
    }
    const auto text = platform::begin_text(within_->read_only, at_primary_ ? std::nullopt : floor_);
    connection_->send(platform::own_statement_id, text, [self = shared_from_this()](const auto &answer) {
        if (self->stage_ != stage::waiting || self->abandoned_) {
            self->give_back_connection();
            return;
        }
        if (!answer) {
            self->take_loss();
        } else if (answer->error) {
            self->take_error(*answer->error, answer->end);
        } else {
            self->within_->pool = self->pool_;
            self->within_->connection = self->connection_;
            self->within_->term = self->at_primary_ ? self->term_ : 0;
            self->send_statement();
        }
    });
}

void statement_run::send_statement()
{
    if (stage_ != stage::waiting || abandoned_) {
        give_back_connection();
        return;
    }
    auto text = request_.text;
    if (request_.prepared)
        text = platform::execute_text(request_.prepared->shared_name(), request_.parsed.argument);
    if (!within_ && !at_primary_ && floor_)
        text = platform::at_least_text(*floor_, text);
    stage_ = stage::sent;
    ++attempts_;
    connection_->give_up_at = deadline_ + late_answer;
    sent_at_ = clock_type::now();
    connection_->send(request_.id, text,
                      [self = shared_from_this()](const auto &answer) { self->take_answer(answer); });
}

void statement_run::take_answer(const std::optional<session::statement_answer> &answer)
{
    if (answer)
        group_->note_answer(connection_->instance(), answer->end, sent_at_);
    if (stage_ == stage::over || abandoned_) {
        give_back_connection();
        return;
    }
    if (!answer)
        take_loss();
    else if (answer->error)
        take_error(*answer->error, answer->end);
    else
        take_success(*answer);
}

void statement_run::take_loss()
{
    const bool was_sent = stage_ == stage::sent;
    if (connection_) {
        group_->distrust(connection_->instance(), clock_type::now());
        pool_->drop(connection_);
    }
    connection_.reset();
    if (stage_ == stage::over || abandoned_)
        return;
    if (within_ && within_->connection) {
        within_->connection.reset();
        if (is_commit() && was_sent && within_->wrote)
            return fail(answer_code::in_doubt, "the connection was lost during the commit");
        return fail(answer_code::aborted, "the connection to the instance was lost");
    }
    if (was_sent && request_.writes)
        return fail(answer_code::in_doubt, "the connection was lost during the write");
    retry(std::chrono::milliseconds(0));
}

void statement_run::take_error(const session::failure &error, const session::prompt & /*end*/)
{
    const auto instance = connection_->instance();
    if (error.code == answer_code::read_only && at_primary_)
        group_->reject_primary(instance);
    if (error.code == answer_code::unknown_name && request_.prepared)
        connection_->prepared.erase(request_.prepared->shared_name());
    const bool first_of_transaction = within_ && !within_->forwarded;
    const bool repeatable = session::proves_not_run(error.code) || (!request_.writes && !is_commit());
    if (error.code != answer_code::malformed && repeatable && (!within_ || first_of_transaction)) {
        give_back_connection();
        if (error.code == answer_code::failed || error.code == answer_code::timed_out)
            group_->distrust(instance, clock_type::now());
        retry(error.code == answer_code::busy ? busy_delay : std::chrono::milliseconds(0));
        return;
    }
    if (!within_) {
        give_back_connection();
        return fail(error.code, error.text);
    }
    const bool may_be_kept = is_commit() && within_->wrote && !session::proves_not_run(error.code);
    give_back_connection();
    if (may_be_kept)
        return fail(answer_code::in_doubt, error.text);
    fail(error.code == answer_code::malformed ? error.code : answer_code::aborted, error.text);
}

void statement_run::take_success(const session::statement_answer &answer)
{
    result_.rows = answer.rows;
    result_.receipt = answer.receipt;
    if (within_) {
        within_->forwarded = true;
        within_->wrote = within_->wrote || request_.writes;
    }
    stage_ = stage::confirming;
    if (changes_data()) {
        if (answer.end.log)
            session_->committed_at(*answer.end.log);
        confirm(clock_type::now());
        return;
    }
    if (at_primary_ && !request_.writes) {
        confirm(trusted_since());
        return;
    }
    finish();
}

void statement_run::confirm(time_point since)
{
    // The connection is free while the answer waits.
    if (!within_ || is_commit())
        give_back_connection();
    confirmation_request request;
    request.since = since;
    request.term = term_;
    request.give_up_at = deadline_;
    group_->confirm(request, [self = shared_from_this()](confirmation_result result) {
        if (self->stage_ != stage::confirming || self->abandoned_)
            return;
        if (result == confirmation_result::confirmed) {
            self->finish();
            return;
        }
        if (self->changes_data())
            self->fail(answer_code::in_doubt, "the primary was replaced while the write was acknowledged");
        else if (self->within_)
            self->fail(answer_code::aborted, "the primary was replaced during the transaction");
        else if (result == confirmation_result::superseded) {
            self->result_ = {};
            self->stage_ = stage::waiting;
            self->retry(std::chrono::milliseconds(0));
        } else
            self->fail(answer_code::timed_out, "the primary could not be confirmed in time");
    });
}

void statement_run::retry(std::chrono::milliseconds delay)
{
    stage_ = stage::waiting;
    if (attempts_ >= max_attempts || clock_type::now() >= deadline_) {
        refuse("no instance ran the statement");
        return;
    }
    if (clock_type::now() >= wait_limit_ && attempts_ == 0) {
        refuse("no instance took the statement");
        return;
    }
    if (attempts_ > 0)
        wait_limit_ = deadline_;
    retry_timer_ = std::make_unique<inner::timer>(base_, [self = shared_from_this()] {
        if (self->stage_ == stage::waiting && !self->abandoned_)
            self->choose();
    });
    retry_timer_->start(delay);
}

void statement_run::refuse(const char *reason)
{
    // Nothing of this statement has run, or only a read has.
    constexpr const char *come_back = "; retry in 100 ms";
    fail(within_ && within_->forwarded ? answer_code::aborted : answer_code::busy,
         std::string(reason) + come_back);
}

void statement_run::fail(answer_code code, std::string text)
{
    result_ = {};
    result_.error = session::failure{code, std::move(text)};
    finish();
}

void statement_run::finish()
{
    stage_ = stage::over;
    result_.ends_transaction = within_ && is_commit();
    result_.fails_transaction = within_ && result_.error && !result_.ends_transaction;
    retry_timer_.reset();
    const bool still_running = connection_ && connection_->unanswered() > 0;
    if ((!within_ || is_commit()) && !still_running)
        give_back_connection(); // otherwise it comes back with the late answer
    const auto done = std::move(done_);
    done_ = nullptr;
    if (done)
        done(std::move(result_));
}

void statement_run::tick(time_point now)
{
    if (stage_ == stage::over || now < deadline_)
        return;
    const bool may_have_run = stage_ != stage::waiting;
    if (!may_have_run)
        return refuse("no instance took the statement in its time");
    if (within_ && within_->connection && !is_commit()) {
        // The statement is still running; its connection rolls back when it is dropped.
        within_->pool->drop(within_->connection);
        within_->connection.reset();
        connection_.reset();
        return fail(answer_code::aborted, "the statement took longer than its route allows");
    }
    fail(changes_data() ? answer_code::in_doubt : answer_code::timed_out,
         "the statement took longer than its route allows");
}

void statement_run::abandon()
{
    abandoned_ = true;
    done_ = nullptr;
    retry_timer_.reset();
}

void statement_run::give_back_connection()
{
    if (!connection_)
        return;
    const auto it = std::move(connection_);
    connection_.reset();
    if (within_ && within_->connection == it)
        within_->connection.reset();
    return_connection(pool_, it);
}

} // namespace baobabport::proxy
