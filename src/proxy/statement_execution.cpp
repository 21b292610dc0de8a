// Steps of a statement's execution but the setup of its connection, and what each failure means for the
// statement and its connection.

#include "proxy/statement_execution.h"

#include "support/boot_clock.h"
#include "support/json_log.h"
#include "support/keys.h"

#include <algorithm>
#include <cstring>
#include <limits>
#include <utility>
#include <vector>

namespace baobabport::proxy {

using clock_type = support::boot_clock;
using inner::begin_mode;
using inner::execute_outcome;
using session::transaction_state;

namespace {

/// Returns true if the instance shed the statement, or did not answer it in time.
bool is_refusal(const inner::execute_answer &it)
{
    const auto &error = it.answer.error;
    return it.outcome == execute_outcome::lost || (error && (error->code == session::answer_code::busy ||
                                                             error->code == session::answer_code::timed_out));
}

} // namespace

void return_connection(const std::shared_ptr<instance_pool> &pool, const instance_pool::connection &it,
                       const std::function<void()> &released_later)
{
    if (it->is_closed())
        return;
    if (it->state() == transaction_state::none) {
        pool->release(it);
        return;
    }
    it->deadline = clock_type::now() + statement_execution::answer_grace_period;
    it->send(platform::own_statement_id, platform::rollback_text(),
             [pool, it, released_later](const auto &answer) {
                 if (answer && answer->end.state == transaction_state::none)
                     pool->release(it);
                 else
                     pool->drop(it);
                 if (released_later)
                     released_later();
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
    if (request_.transaction != 0 && !claim_transaction()) {
        not_run("the transaction is not open here");
        return;
    }
    const auto now = clock_type::now();
    pool->record_demand(request_.workspace);
    auto &scheduler = state_->schedulers.try_emplace(request_.instance, pool->slots()).first->second;
    scheduler.set_slots(pool->slots());
    scheduler.cold_limit().set_cold_since(pool->cold_since());
    if (!request_.workspace.empty())
        scheduler.set_connections([weak = std::weak_ptr(pool)](const auto &workspace, auto waiting, auto at) {
            const auto connections = weak.lock();
            return connections ? connections->outlook(workspace, waiting, at)
                               : admission::connection_outlook{};
        });
    key_ = ++state_->last_key;
    admission::slot_request wanted;
    wanted.key = key_;
    wanted.priority = request_.priority;
    wanted.holds_connection = request_.transaction != 0;
    wanted.label = request_.label;
    wanted.workspace = request_.workspace;
    wanted.wait_until = now + (wanted.holds_connection ? request_.time_left : request_.wait_left);
    switch (scheduler.submit(wanted, now)) {
    case admission::slot_decision::run:
        run();
        return;
    case admission::slot_decision::wait:
        state_->waiting[key_] = shared_from_this();
        start_waiting(*state_, scheduler, now); // a limit may have grown by time
        return;
    case admission::slot_decision::refuse:
        key_ = 0;
        refuse_overloaded(scheduler.expected_wait(request_.priority, now, request_.workspace));
        return;
    case admission::slot_decision::no_connection:
        key_ = 0;
        refuse_without_connection(acquire_failure::exhausted);
        return;
    }
}

bool statement_execution::claim_transaction()
{
    const auto known = state_->transactions.find(request_.transaction);
    if (known == state_->transactions.end() || known->second.owner != owner_ || known->second.running ||
        known->second.claimed || known->second.pool->target().instance != request_.instance ||
        known->second.connection->workspace != request_.workspace)
        return false;
    known->second.claimed = claimed_ = true;
    return true;
}

void statement_execution::run()
{
    if (request_.transaction == 0) {
        run_on_new_connection();
        return;
    }
    const auto known = state_->transactions.find(request_.transaction);
    if (!claimed_ || known == state_->transactions.end()) // it may have ended while the statement waited
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
                                        {"workspace", request_.workspace},
                                        {"limit", "slots"},
                                        {"expected_wait_ms", std::to_string(wait)},
                                        {"wait_limit_ms", std::to_string(request_.wait_left.count())},
                                        {"running", std::to_string(scheduler.running())},
                                        {"waiting", std::to_string(scheduler.waiting())}});
    auto reason = "the instance is busy for " + std::to_string(wait) + " ms";
    if (!request_.workspace.empty())
        reason +=
            "; retry in " + std::to_string(retry_delay(std::chrono::milliseconds(wait)).count()) + " ms";
    finish({execute_outcome::not_run, std::move(reason), true, {}, 0});
}

std::chrono::milliseconds statement_execution::retry_delay(std::chrono::milliseconds wait) const
{
    // Callers that were refused together would otherwise return together.
    constexpr std::chrono::milliseconds shortest{20};
    const auto mean = std::max(wait, shortest);
    const auto spread = static_cast<std::int64_t>(std::hash<std::string>{}(request_.id) %
                                                  static_cast<std::uint64_t>(mean.count()));
    return mean / 2 + std::chrono::milliseconds(spread);
}

void statement_execution::run_on_new_connection()
{
    const auto self = shared_from_this();
    const connection_request wanted{request_.priority,
                                    clock_type::now() + request_.wait_left,
                                    {self, &request_.values},
                                    request_.workspace,
                                    expected_hold()};
    pool_->acquire(wanted, [self](const auto &connection, auto reason) {
        if (!connection) {
            self->refuse_without_connection(reason.value());
            return;
        }
        self->connection_ = connection;
        const auto scheduler = self->state_->schedulers.find(self->request_.instance);
        if (scheduler != self->state_->schedulers.end())
            scheduler->second.connected(self->key_, clock_type::now());
        self->prepare();
    });
}

std::optional<std::chrono::microseconds> statement_execution::expected_hold() const
{
    const auto scheduler = state_->schedulers.find(request_.instance);
    if (request_.begin != begin_mode::none || scheduler == state_->schedulers.end())
        return std::nullopt;
    return scheduler->second.expected_duration(request_.label);
}

void statement_execution::refuse_without_connection(acquire_failure reason)
{
    if (reason == acquire_failure::unreachable) {
        not_run("the instance takes no connections");
        return;
    }
    // Without workspaces, a statement that found no connection is offered to the same instance again.
    const bool overloaded = reason == acquire_failure::exhausted || !request_.workspace.empty();
    if (overloaded)
        support::log_event("work_refused", {{"id", request_.id},
                                            {"instance", request_.instance},
                                            {"workspace", request_.workspace},
                                            {"limit", "connections"},
                                            {"open", std::to_string(pool_->open_count())},
                                            {"wait_limit_ms", std::to_string(request_.wait_left.count())}});
    finish({execute_outcome::not_run, "all connections are in use", overloaded, {}, 0});
}

void statement_execution::run_in_transaction(open_transaction &transaction)
{
    pool_ = transaction.pool;
    connection_ = transaction.connection;
    transaction.running = true;
    pool_->resume(connection_);
    prepare();
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
            self->give_back();
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
    inner::execute_answer out{execute_outcome::answered, {}, false, *answer, 0};
    if (answer->error && answer->error->code == session::answer_code::unknown_name && request_.prepared) {
        // What else the instance has lost of the connection's state is not known.
        support::log_warning("prepared_statement_unknown",
                             {{"id", request_.id},
                              {"instance", request_.instance},
                              {"connection", std::to_string(connection_->number)},
                              {"prepared", connection_->session_state.name_of(*request_.prepared)}});
        state_->transactions.erase(request_.transaction);
        pool_->drop(connection_);
        finish(out);
        return;
    }
    const bool open = answer->end.state == transaction_state::open;
    if (open && (request_.begin != begin_mode::none || request_.transaction != 0)) {
        out.transaction = request_.transaction != 0 ? request_.transaction : ++state_->last_transaction;
        keep_open(out.transaction);
    } else {
        state_->transactions.erase(request_.transaction);
        give_back();
    }
    finish(out);
}

void statement_execution::give_back()
{
    return_connection(pool_, connection_, [state = state_, instance = request_.instance] {
        start_waiting(*state, instance, clock_type::now());
    });
}

void statement_execution::keep_open(std::uint64_t transaction)
{
    const auto now = clock_type::now();
    state_->transactions[transaction] = {owner_, pool_, connection_, now};
    pool_->rest(connection_, now + state_->early_end);
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
    const auto open = state_->transactions.find(request_.transaction);
    if (claimed_ && open != state_->transactions.end())
        open->second.claimed = false;
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
    const auto all = std::numeric_limits<std::size_t>::max();
    const std::size_t at_once = scheduler.has_workspaces() ? 1 : all;
    std::vector<std::uint64_t> keys;
    do {
        keys = scheduler.next(now, at_once);
        for (const auto key : keys) {
            const auto it = state.waiting.find(key);
            if (it == state.waiting.end())
                continue;
            const auto next = it->second;
            state.waiting.erase(it);
            next->run();
        }
    } while (at_once == 1 && !keys.empty());
}

void start_waiting(executor_state &state, const std::string &instance, time_point now)
{
    const auto scheduler = state.schedulers.find(instance);
    if (scheduler != state.schedulers.end())
        start_waiting(state, scheduler->second, now);
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
