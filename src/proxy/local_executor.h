// Runs statements on this process's own connections, for its own sessions and for those of other processes.

#pragma once

#include "inner/execute_messages.h"
#include "proxy/instance_pool.h"
#include "proxy/statement_execution.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace baobabport::proxy {

/**
 * Runs each statement on a connection that has the values and prepared statements of its session. An open
 * transaction keeps its connection until it ends.
 */
class local_executor
{
public:
    using answer_hook = statement_execution::answer_hook;
    using pool_hook = std::function<std::shared_ptr<instance_pool>(const std::string &service,
                                                                   const std::string &instance)>;

    static constexpr auto answer_grace_period = statement_execution::answer_grace_period;

    explicit local_executor(pool_hook pools) : pools_(std::move(pools)) {}

    /// Runs the statement for `owner`; the hook is called once, possibly before this returns.
    void execute(std::uint64_t owner, inner::execute_request request, answer_hook done);

    /// Rolls back a transaction.
    void end_transaction(std::uint64_t transaction);

    /// Rolls back all transactions of an owner that has disconnected.
    void end_owner(std::uint64_t owner);

    /// Rolls back transactions that were idle for longer than `limit`, and refuses statements whose wait for
    /// a slot has expired. While no connection of an instance is left for the statements of workspaces, its
    /// transaction that is idle for longest is rolled back after a third of `limit`.
    void tick(time_point now, std::chrono::milliseconds limit);

    /// Returns true while a statement runs or waits for a slot, or a transaction is open.
    [[nodiscard]] bool busy() const;

    /// Returns the number of the transaction that was opened last.
    [[nodiscard]] std::uint64_t last_transaction() const { return state_->last_transaction; }

    /// Returns how many statements the instance may run; none: no statement for it came here.
    [[nodiscard]] std::optional<std::uint32_t> concurrency_limit(const std::string &instance,
                                                                 time_point now) const;

    [[nodiscard]] std::size_t open_transactions() const { return state_->transactions.size(); }

private:
    void start(std::uint64_t owner, inner::execute_request request, answer_hook done);
    void send_status_request(const inner::execute_request &request);
    void end_idle(time_point now, std::chrono::milliseconds limit);
    void end_for_waiting(time_point now);
    [[nodiscard]] bool lacks_connections(const instance_pool &pool, time_point now) const;

    pool_hook pools_;
    std::shared_ptr<executor_state> state_ = std::make_shared<executor_state>();
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< callbacks keep a weak pointer to it
};

/// Runs statements in this process or in the home process of an instance.
struct statement_executor
{
    std::function<std::string(const std::string &instance, const std::string &data_centre)> home_of;
    std::function<void(const std::string &vm, inner::execute_request, local_executor::answer_hook)> execute;
    std::function<void(const std::string &vm, std::uint64_t transaction)> end_transaction;
};

} // namespace baobabport::proxy
