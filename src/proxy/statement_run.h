// One statement on its way to an instance and back: where it goes, what may be repeated, when it is safe.

#pragma once

#include "directory/desired_state.h"
#include "proxy/group_task.h"
#include "proxy/local_executor.h"
#include "session/messages.h"
#include "session/session_context.h"
#include "session/statement.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace baobabport::proxy {

/// A transaction of a session, from its begin to its end.
struct transaction
{
    std::shared_ptr<const directory::route> route;
    std::shared_ptr<group_task> group;
    bool read_only = false;
    time_point begun_at;

    // Set by the first statement that needs an instance.
    std::uint64_t id = 0; ///< at the process that runs it; 0: it is not open at an instance
    std::string vm;       ///< the process; empty: this one
    std::string instance;
    std::uint64_t term = 0; ///< of the primary it runs at; 0: not at a primary
    bool forwarded = false; ///< a statement of the caller has run in it
    bool wrote = false;
};

/// What a caller's statement came to.
struct run_result
{
    std::vector<std::string> rows;
    std::string receipt;
    std::optional<session::failure> error;
    std::string instance; ///< that answered, or was asked last
    bool ends_transaction = false;
    bool fails_transaction = false;
};

/// What a run needs to know of its statement.
struct run_request
{
    std::string id;
    std::string text;
    session::statement parsed;
    bool writes = false;
    std::optional<session::prepared_statement> prepared; ///< of an `execute`
    std::shared_ptr<const directory::route> route;
    time_point arrived_at;
};

/**
 * Runs one statement. Reads are repeated elsewhere when an instance fails them; a write or commit that
 * went out is never sent again unless the instance says that it has not run.
 */
class statement_run : public std::enable_shared_from_this<statement_run>
{
public:
    using done_hook = std::function<void(run_result)>;

    /// Part of a statement's time that it may wait for an instance before it is refused; the rest is
    /// left to the caller's own repeats, of which two are usual.
    static constexpr double wait_share = 0.3;
    /// Part of the target latency that a statement may wait for a slot: a later answer is worth little, and
    /// what waits longer only makes others late.
    static constexpr double slot_wait_share = 0.75;
    /// A statement that was sent elsewhere in vain may wait at least this part of the target latency.
    static constexpr double repeat_wait_share = 0.3;
    /// Taken off a route's staleness, for the time between a read's first byte and its arrival here.
    static constexpr std::chrono::milliseconds staleness_margin{150};
    /// Pause before a busy instance is asked again; about one statement's work.
    static constexpr std::chrono::milliseconds busy_delay{12};
    /// A read that this many instances are too busy for is refused.
    static constexpr int max_overloads = 2;
    /// Instances that one statement is offered to, at most.
    static constexpr int max_attempts = 8;

    statement_run(event_base *base, statement_executor *executor, run_request request,
                  std::shared_ptr<session::session_context> session, std::shared_ptr<group_task> group,
                  std::shared_ptr<transaction> open_transaction);

    void start(done_hook done);

    /// Ends the run with an answer if its time is over.
    void tick(time_point now);

    /// The caller is gone: nothing is reported any more.
    void abandon();

private:
    enum class stage : std::uint8_t
    {
        waiting, ///< nothing has gone to an instance
        sent,
        confirming,
        finished,
    };

    [[nodiscard]] bool needs_primary() const;
    [[nodiscard]] bool is_commit() const;
    [[nodiscard]] bool changes_data() const;
    [[nodiscard]] time_point fresh_since() const;
    [[nodiscard]] std::optional<position> read_floor() const;

    void choose();
    void choose_primary();
    void choose_reader();
    void send(const std::string &vm, const std::string &instance);
    void handle_answer(const inner::execute_answer &answer);
    void log_failed_attempt(const char *outcome, const std::string &detail) const;
    void handle_late_answer(const inner::execute_answer &answer);
    void handle_loss(const inner::execute_answer &answer);
    void handle_error(const session::failure &error);
    void handle_success(const session::statement_answer &answer);
    void confirm(time_point since);
    [[nodiscard]] time_point slot_wait_until(time_point now) const;
    void retry(std::chrono::milliseconds delay);
    void drop_transaction();
    void refuse(const std::string &reason);
    void fail(session::answer_code code, std::string text);
    void finish();

    event_base *base_;
    statement_executor *executor_;
    run_request request_;
    std::shared_ptr<session::session_context> session_;
    std::shared_ptr<group_task> group_;
    std::shared_ptr<transaction> transaction_; ///< null: a statement on its own
    done_hook done_;
    stage stage_ = stage::waiting;
    time_point deadline_;
    time_point wait_limit_;
    int attempts_ = 0;
    int overload_count_ = 0;
    std::set<std::string> tried_;
    std::string vm_;       ///< the process that runs it; empty: this one
    std::string instance_; ///< that it was last sent to
    std::uint64_t term_ = 0;
    bool at_primary_ = false;
    std::optional<position> floor_;
    time_point sent_at_;
    run_result result_;
    bool abandoned_ = false;
    std::unique_ptr<inner::timer> retry_timer_;
};

} // namespace baobabport::proxy
