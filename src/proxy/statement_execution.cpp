// Steps of a statement's execution, and what each failure means for the statement and its connection.

#include "proxy/statement_execution.h"

#include "support/boot_clock.h"
#include "support/json_log.h"
#include "support/keys.h"

#include <cstring>
#include <utility>

namespace baobabport::proxy {

using clock_type = support::boot_clock;
using inner::begin_mode;
using inner::execute_outcome;
using session::transaction_state;

namespace {

/// Returns why a statement that prepares a connection failed; empty if it succeeded.
std::string preparation_failure(const char *what, const std::optional<session::statement_answer> &answer)
{
    if (!answer)
        return "the connection was lost";
    if (!answer->error)
        return {};
    return std::string(what) + " got " + std::string(platform::code_word(answer->error->code)) + ' ' +
           answer->error->text;
}

/// Returns true if the instance shed the statement, or did not answer it in time.
bool is_refusal(const inner::execute_answer &it)
{
    const auto &error = it.answer.error;
    return it.outcome == execute_outcome::lost || (error && (error->code == session::answer_code::busy ||
                                                             error->code == session::answer_code::timed_out));
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
    it->deadline = clock_type::now() + statement_execution::answer_grace_period;
    it->send(platform::own_statement_id, platform::rollback_text(), [pool, it](const auto &answer) {
        if (answer && answer->end.state == transaction_state::none)
            pool->release(it);
        else
            pool->drop(it);
    });
}

statement_execution::statement_execution(std::shared_ptr<executor_state> state, std::uint64_t owner,
                                         inner::execute_request request, answer_hook done)
    : state_(std::move(state)), owner_(owner), request_(std::move(request)), done_(std::move(done)),
      deadline_(clock_type::now() + request_.time_left + answer_grace_period)
{
}

void statement_execution::schedule(const std::shared_ptr<instance_pool> &pool)
{
    pool_ = pool;
    // The proxy's own requests need no slot, since they take almost no time.
    if (request_.id == platform::own_statement_id) {
        run();
        return;
    }
    const auto now = clock_type::now();
    auto &scheduler = state_->schedulers.try_emplace(request_.instance, pool->slots()).first->second;
    scheduler.set_slots(pool->slots());
    scheduler.cold_limit().set_cold_since(pool->cold_since());
    key_ = ++state_->last_key;
    admission::slot_request wanted;
    wanted.key = key_;
    wanted.priority = request_.priority;
    wanted.holds_connection = request_.transaction != 0;
    wanted.label = request_.label;
    wanted.wait_until = now + (wanted.holds_connection ? request_.time_left : request_.wait_left);
    switch (scheduler.submit(wanted, now)) {
    case admission::slot_decision::run:
        run();
        return;
    case admission::slot_decision::wait:
        state_->waiting[key_] = shared_from_this();
        return;
    case admission::slot_decision::refuse:
        key_ = 0;
        refuse_overloaded(scheduler.expected_wait(request_.priority, now));
        return;
    }
}

void statement_execution::run()
{
    if (request_.transaction == 0) {
        run_on_new_connection();
        return;
    }
    const auto known = state_->transactions.find(request_.transaction);
    if (known == state_->transactions.end() || known->second.owner != owner_ || known->second.running ||
        known->second.pool->target().instance != request_.instance)
        not_run("the transaction is not open here");
    else
        run_in_transaction(known->second);
}

void statement_execution::refuse_overloaded(std::chrono::microseconds expected_wait)
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(expected_wait).count();
    const auto &scheduler = state_->schedulers.at(request_.instance);
    support::log_event("work_refused", {{"id", request_.id},
                                        {"instance", request_.instance},
                                        {"expected_wait_ms", std::to_string(wait)},
                                        {"wait_limit_ms", std::to_string(request_.wait_left.count())},
                                        {"running", std::to_string(scheduler.running())},
                                        {"waiting", std::to_string(scheduler.waiting())}});
    finish(
        {execute_outcome::not_run, "the instance is busy for " + std::to_string(wait) + " ms", true, {}, 0});
}

void statement_execution::run_on_new_connection()
{
    const auto self = shared_from_this();
    const connection_request wanted{request_.priority,
                                    clock_type::now() + request_.wait_left,
                                    {self, &request_.values},
                                    request_.workspace};
    pool_->acquire(wanted, [self](const auto &connection, auto reason) {
        if (!connection) {
            self->not_run(reason == acquire_failure::wait_expired ? "all connections are in use"
                                                                  : "the instance takes no connections");
            return;
        }
        self->connection_ = connection;
        const auto scheduler = self->state_->schedulers.find(self->request_.instance);
        if (scheduler != self->state_->schedulers.end())
            scheduler->second.connected(self->key_, clock_type::now());
        self->prepare();
    });
}

void statement_execution::run_in_transaction(open_transaction &transaction)
{
    pool_ = transaction.pool;
    connection_ = transaction.connection;
    transaction.running = true;
    prepare();
}

void statement_execution::prepare()
{
    auto &it = *connection_;
    it.deadline = deadline_;
    struct progress
    {
        int outstanding = 1; ///< outstanding answers, and 1 until this function has sent all its statements
        std::string failure; ///< of the first statement that failed; empty: none
        std::optional<session::statement_answer> refused_shape;
    };
    const auto state = std::make_shared<progress>();
    const auto one_done = [self = shared_from_this(), state](const std::string &failure) {
        if (state->failure.empty())
            state->failure = failure;
        if (--state->outstanding > 0)
            return;
        if (!state->failure.empty()) {
            self->fail_connection(execute_outcome::not_run,
                                  "the connection could not be prepared: " + state->failure);
        } else if (state->refused_shape) {
            self->connection_->session_state.forget(*self->request_.prepared);
            self->handle_answer(state->refused_shape);
        } else
            self->begin();
    };
    const auto send = [&it, state, one_done](const char *what, const std::string &text) {
        ++state->outstanding;
        it.send(platform::own_statement_id, text,
                [one_done, what](const auto &answer) { one_done(preparation_failure(what, answer)); });
    };
    const auto send_shape = [&it, state, one_done](const std::string &text) {
        ++state->outstanding;
        it.send(platform::own_statement_id, text, [state, one_done](const auto &answer) {
            // Another instance would refuse it, too.
            if (answer && answer->error && answer->error->code == session::answer_code::malformed) {
                state->refused_shape = answer;
                one_done({});
            } else
                one_done(preparation_failure("prepared statement", answer));
        });
    };
    if (request_.id == platform::own_statement_id) { // needs no session state
        one_done({});
        return;
    }
    const auto setup =
        it.session_state.require(request_.values, request_.prepared, it.state() != transaction_state::none);
    if (setup.reset)
        send("reset", platform::reset_text());
    for (const auto &[name, value] : setup.values)
        send("session value", platform::set_text(name, value));
    if (setup.prepare) {
        const auto text = platform::prepare_text(*setup.prepare);
        too_long_ = !platform::statement_fits(platform::own_statement_id, text);
        if (too_long_)
            it.session_state.forget(*request_.prepared);
        else
            send_shape(text);
    }
    too_long_ = too_long_ || !platform::statement_fits(request_.id, statement_text());
    if (!setup.empty())
        log_setup(setup);
    one_done({});
}

void statement_execution::log_setup(const session::connection_setup &setup) const
{
    constexpr std::size_t shape_bytes = 64;
    const auto &prepare = setup.prepare;
    support::log_routine("connection_prepared",
                         {{"id", request_.id},
                          {"instance", request_.instance},
                          {"connection", std::to_string(connection_->number)},
                          {"reset", setup.reset ? "yes" : "no"},
                          {"values", std::to_string(setup.values.size())},
                          {"prepared", prepare ? prepare->name : ""},
                          {"shape", prepare ? prepare->prepared.shape.substr(0, shape_bytes) : ""}});
}

void statement_execution::begin()
{
    if (too_long_) {
        reject("the statement is too long for an instance");
        return;
    }
    if (request_.begin == begin_mode::none || request_.transaction != 0) {
        send();
        return;
    }
    // Sent only after the begin was answered: after a failed begin it would run outside any transaction.
    const auto text = platform::begin_text(request_.begin == begin_mode::read_only, request_.floor);
    connection_->send(platform::own_statement_id, text, [self = shared_from_this()](const auto &answer) {
        if (!answer) {
            self->fail_connection(execute_outcome::not_run, "the connection was lost");
            return;
        }
        if (answer->error) {
            return_connection(self->pool_, self->connection_);
            self->finish({execute_outcome::answered, {}, false, *answer, 0});
            return;
        }
        self->send();
    });
}

std::string statement_execution::statement_text() const
{
    auto text = request_.text;
    if (request_.prepared) {
        const auto &name = connection_->session_state.name_of(*request_.prepared);
        text = platform::rename_execute(text, request_.prepared->peer_name(), name).value();
    }
    const bool outside_transaction = request_.begin == begin_mode::none && request_.transaction == 0;
    if (outside_transaction && request_.floor)
        text = platform::at_least_text(*request_.floor, text);
    return text;
}

void statement_execution::send()
{
    connection_->send(request_.id, statement_text(),
                      [self = shared_from_this()](const auto &answer) { self->handle_answer(answer); });
}

void statement_execution::reject(const std::string &reason)
{
    session::statement_answer answer;
    answer.error = session::failure{session::answer_code::malformed, reason};
    answer.end.state = connection_->state();
    handle_answer(answer);
}

void statement_execution::handle_answer(const std::optional<session::statement_answer> &answer)
{
    if (!answer) {
        fail_connection(execute_outcome::lost, "the connection was lost");
        return;
    }
    if (answer->error && answer->error->code == session::answer_code::unknown_name && request_.prepared) {
        support::log_warning("prepared_statement_unknown",
                             {{"id", request_.id},
                              {"instance", request_.instance},
                              {"connection", std::to_string(connection_->number)},
                              {"prepared", connection_->session_state.name_of(*request_.prepared)}});
        connection_->session_state.forget(*request_.prepared);
    }
    inner::execute_answer out{execute_outcome::answered, {}, false, *answer, 0};
    const bool open = answer->end.state == transaction_state::open;
    if (open && (request_.begin != begin_mode::none || request_.transaction != 0)) {
        out.transaction = request_.transaction != 0 ? request_.transaction : ++state_->last_transaction;
        state_->transactions[out.transaction] = {owner_, pool_, connection_, clock_type::now(), false};
    } else {
        state_->transactions.erase(request_.transaction);
        return_connection(pool_, connection_);
    }
    finish(out);
}

void statement_execution::not_run(std::string reason)
{
    finish({execute_outcome::not_run, std::move(reason), false, {}, 0});
}

void statement_execution::fail_connection(execute_outcome outcome, std::string reason)
{
    support::log_event("work_lost",
                       {{"id", request_.id},
                        {"instance", request_.instance},
                        {"connection", std::to_string(connection_->number)},
                        {"outcome", outcome == execute_outcome::lost ? "may have run" : "not run"},
                        {"reason", reason}});
    pool_->drop(connection_);
    state_->transactions.erase(request_.transaction);
    finish({outcome, std::move(reason), false, {}, 0});
}

void statement_execution::finish(const inner::execute_answer &answer)
{
    connection_.reset();
    const auto scheduler = state_->schedulers.find(request_.instance);
    if (key_ != 0 && scheduler != state_->schedulers.end()) {
        const auto now = clock_type::now();
        scheduler->second.finished(key_, answer.outcome == execute_outcome::answered, now,
                                   is_refusal(answer));
        start_waiting(*state_, scheduler->second, now);
    }
    const auto done = std::move(done_);
    done_ = nullptr;
    if (done)
        done(answer);
}

void start_waiting(executor_state &state, admission::slot_scheduler &scheduler, time_point now)
{
    for (const auto key : scheduler.next(now)) {
        const auto it = state.waiting.find(key);
        if (it == state.waiting.end())
            continue;
        const auto next = it->second;
        state.waiting.erase(it);
        next->run();
    }
}

std::uint64_t executor_state::random_start()
{
    std::uint64_t out = 0;
    const auto bytes = support::random_bytes(sizeof(out));
    std::memcpy(&out, bytes.data(), sizeof(out));
    constexpr std::uint64_t start_range = std::uint64_t{1} << 62; // counting up from it does not overflow
    return out % start_range + 1;
}

} // namespace baobabport::proxy
