// Runs statements on this process's own connections, for its own sessions and for those of other processes.

#pragma once

#include "admission/slot_scheduler.h"
#include "admission/status_sharing.h"
#include "inner/execute_messages.h"
#include "proxy/instance_pool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace baobabport::proxy {

/**
 * Runs each statement on a connection that has the values and prepared statements of its session. An open
 * transaction keeps its connection until it ends.
 */
class local_executor
{
public:
    using answer_hook = std::function<void(const inner::execute_answer &)>;
    using pool_hook = std::function<std::shared_ptr<instance_pool>(const std::string &service,
                                                                   const std::string &instance)>;

    /// Time after the statement's deadline in which an answer is still accepted; then the connection is
    /// closed.
    static constexpr std::chrono::milliseconds answer_grace_period{500};

    explicit local_executor(pool_hook pools) : pools_(std::move(pools)) {}

    /// Runs the statement for `owner`; the hook is called once, possibly before this returns.
    void execute(std::uint64_t owner, inner::execute_request request, answer_hook done);

    /// Rolls back a transaction.
    void end_transaction(std::uint64_t transaction);

    /// Rolls back all transactions of an owner that has disconnected.
    void end_owner(std::uint64_t owner);

    /// Rolls back transactions that were idle for longer than `limit`, and refuses statements whose wait for
    /// a slot has expired.
    void tick(time_point now, std::chrono::milliseconds limit);

    /// Returns true while a statement runs or waits for a slot, or a transaction is open.
    [[nodiscard]] bool busy() const;

    /// Returns the number of the transaction that was opened last.
    [[nodiscard]] std::uint64_t last_transaction() const { return state_->last_transaction; }

    [[nodiscard]] std::size_t open_transactions() const { return state_->transactions.size(); }

private:
    struct open_transaction
    {
        std::uint64_t owner = 0;
        std::shared_ptr<instance_pool> pool;
        instance_pool::connection connection;
        time_point used_at;
        bool running = false; ///< a statement is in progress
    };
    class execution;
    /// Shared with the statements in progress, which may outlive the object.
    struct shared_state
    {
        std::map<std::uint64_t, open_transaction> transactions;
        /// Starts at a random number: a peer may still refer to a transaction of the VM's previous process.
        std::uint64_t last_transaction = random_start();
        std::map<std::string, admission::slot_scheduler> schedulers; ///< by instance
        std::map<std::uint64_t, std::shared_ptr<execution>> waiting; ///< for a slot, by key
        std::uint64_t last_key = 0;
        admission::status_sharing<inner::execute_answer> status_requests;
    };

    void start(std::uint64_t owner, inner::execute_request request, answer_hook done);
    void send_status_request(const inner::execute_request &request);
    static std::uint64_t random_start();
    static void start_waiting(shared_state &state, admission::slot_scheduler &scheduler, time_point now);
    void end_idle(time_point now, std::chrono::milliseconds limit);

    pool_hook pools_;
    std::shared_ptr<shared_state> state_ = std::make_shared<shared_state>();
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< callbacks keep a weak pointer to it
};

/// Runs statements in this process or in the home process of an instance.
struct statement_executor
{
    std::function<std::string(const std::string &instance, const std::string &data_centre)> home_of;
    std::function<void(const std::string &vm, inner::execute_request, local_executor::answer_hook)> execute;
    std::function<void(const std::string &vm, std::uint64_t transaction)> end_transaction;
};

/// Returns a connection to its pool; an open transaction on it is rolled back first.
void return_connection(const std::shared_ptr<instance_pool> &pool, const instance_pool::connection &it);

} // namespace baobabport::proxy
