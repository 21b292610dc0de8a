// One statement at the home of its instance: wait for a slot and a connection, preparation, statement,
// answer.

#pragma once

#include "admission/slot_scheduler.h"
#include "admission/status_sharing.h"
#include "inner/execute_messages.h"
#include "proxy/instance_pool.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace baobabport::proxy {

class statement_execution;

/// A transaction that is open at an instance.
struct open_transaction
{
    std::uint64_t owner = 0;
    std::shared_ptr<instance_pool> pool;
    instance_pool::connection connection;
    time_point used_at;
    bool running = false; ///< a statement is in progress
    bool claimed = false; ///< a statement waits for a slot; the transaction does not count as idle
};

/// What the statements of one executor share; they may outlive the executor.
struct executor_state
{
    std::map<std::uint64_t, open_transaction> transactions;
    /// Starts at a random number: a peer may still refer to a transaction of the VM's previous process.
    std::uint64_t last_transaction = random_start();
    std::map<std::string, admission::slot_scheduler> schedulers;           ///< by instance
    std::map<std::uint64_t, std::shared_ptr<statement_execution>> waiting; ///< for a slot, by key
    std::uint64_t last_key = 0;
    /// A transaction that was idle for longer may be ended when no connection is left for others.
    std::chrono::milliseconds early_end = std::chrono::hours(1);
    admission::status_sharing<inner::execute_answer> status_requests;

    static std::uint64_t random_start();
};

/**
 * One statement in progress at the home of its instance.
 */
class statement_execution : public std::enable_shared_from_this<statement_execution>
{
public:
    using answer_hook = std::function<void(const inner::execute_answer &)>;

    /// Time after the statement's deadline in which an answer is still accepted; then the connection is
    /// closed.
    static constexpr std::chrono::milliseconds answer_grace_period{500};

    /// The hook is called once.
    statement_execution(std::shared_ptr<executor_state> state, std::uint64_t owner,
                        inner::execute_request request, answer_hook done);

    /// Runs the statement when a slot is free, or refuses it.
    void schedule(const std::shared_ptr<instance_pool> &pool);
    void run();
    void refuse_overloaded(std::chrono::microseconds expected_wait);
    void refuse_without_connection(acquire_failure reason);
    [[nodiscard]] std::uint32_t priority() const { return request_.priority; }
    [[nodiscard]] const std::string &workspace() const { return request_.workspace; }

    void not_run(std::string reason);

private:
    [[nodiscard]] bool claim_transaction();
    [[nodiscard]] std::optional<std::chrono::microseconds> expected_hold() const;
    /// Returns how long the caller of a refused statement should wait, about as long as the instance is busy.
    [[nodiscard]] std::chrono::milliseconds retry_delay(std::chrono::milliseconds wait) const;
    void run_on_new_connection();
    /// Returns the connection; statements that it can serve then start.
    void give_back();
    void run_in_transaction(open_transaction &transaction);
    void prepare();
    void keep_open(std::uint64_t transaction);
    void log_setup(const session::connection_setup &setup) const;
    void begin();
    [[nodiscard]] std::string statement_text() const;
    void send();
    void reject(const std::string &reason);
    void handle_answer(const std::optional<session::statement_answer> &answer);
    void fail_connection(inner::execute_outcome outcome, std::string reason);
    void finish(const inner::execute_answer &answer);

    std::shared_ptr<executor_state> state_;
    std::uint64_t owner_;
    inner::execute_request request_;
    answer_hook done_;
    time_point deadline_;
    std::uint64_t key_ = 0; ///< at the scheduler; 0: not scheduled
    bool claimed_ = false;  ///< the request's transaction is claimed for this statement
    std::shared_ptr<instance_pool> pool_;
    instance_pool::connection connection_;
    bool too_long_ = false; ///< with the connection's name of its shape, or with its floor
};

/// Runs the statements to which the scheduler gives a slot.
void start_waiting(executor_state &state, admission::slot_scheduler &scheduler, time_point now);

/// Does so for an instance whose connections may have become available to the statements of workspaces.
void start_waiting(executor_state &state, const std::string &instance, time_point now);

/// Returns a connection to its pool; an open transaction on it is rolled back first. The hook is called if
/// the connection is released only after this returns.
void return_connection(const std::shared_ptr<instance_pool> &pool, const instance_pool::connection &it,
                       const std::function<void()> &released_later = {});

} // namespace baobabport::proxy
