// Execution of one statement: selects an instance, retries where that is safe, and confirms the primary
// before the answer is returned.

#pragma once

#include "directory/desired_state.h"
#include "proxy/group_task.h"
#include "proxy/local_executor.h"
#include "routing/offer_history.h"
#include "session/messages.h"
#include "session/session_context.h"
#include "session/statement.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace baobabport::proxy {

/// A transaction of a session, from BEGIN to COMMIT or ROLLBACK.
struct transaction
{
    std::shared_ptr<const directory::route> route;
    std::shared_ptr<group_task> group;
    bool read_only = false;
    time_point begun_at;

    // Set by the first statement that needs an instance.
    std::uint64_t id = 0; ///< at its home process; 0: not open at an instance
    std::string vm;       ///< VM of the home process; empty: this process
    std::string instance;
    std::uint64_t term = 0; ///< of the primary that it runs on; 0: it does not run on a primary
    bool forwarded = false; ///< an instance has run a statement of the caller in it
    bool wrote = false;
};

/// Receives why a statement gets no token of its workspace's quota, or none.
using token_hook = std::function<void(const std::optional<std::string> &refusal)>;

/// Result of a caller's statement.
struct run_result
{
    std::vector<std::string> rows;
    std::string receipt;
    std::optional<session::failure> error;
    std::string instance; ///< that answered, or that the last attempt was sent to
    bool ends_transaction = false;
    bool fails_transaction = false;
};

/// The statement to run, with its route and time of arrival.
struct run_request
{
    std::string id;
    std::string text;
    session::statement parsed;
    bool writes = false;
    std::optional<session::prepared_statement> prepared; ///< of an `execute`
    std::shared_ptr<const directory::route> route;
    time_point arrived_at;
    std::string workspace; ///< of the session; empty: none
    /// Takes a token of the workspace's quota; null: the statement needs none.
    std::function<void(token_hook)> take_token;
    std::function<void()> return_token; ///< returns a token that was not used
};

/**
 * Runs one statement.
 *
 * A read that fails is retried on another instance. A write or commit that was sent is only sent again if the
 * answer proves that it has not run.
 */
class statement_run : public std::enable_shared_from_this<statement_run>
{
public:
    using done_hook = std::function<void(run_result)>;

    /// Fraction of the statement timeout that a statement may wait for an instance before it is refused; the
    /// rest is left for the caller's own retries, of which two are usual.
    static constexpr double wait_share = 0.3;
    /// Fraction of the target latency that a statement may wait for a slot. A later answer is of little use,
    /// and a longer wait only delays other statements.
    static constexpr double slot_wait_share = 0.75;
    /// Minimum wait for a slot that a retry after a failure is allowed, as a fraction of the target latency.
    static constexpr double retry_wait_share = 0.3;
    /// Minimum wait that a retry after a refusal is allowed: a connection is opened, or one statement ends.
    static constexpr std::chrono::milliseconds refused_retry_wait{25};
    /// A floor is refreshed at this fraction of the age at which reads could no longer use it.
    static constexpr double floor_refresh_share = 0.75;
    /// Subtracted from a route's maximum staleness: time between a read's first byte and its arrival here.
    static constexpr std::chrono::milliseconds staleness_margin{150};
    /// Back-off delay after an instance was busy; about the duration of one statement.
    static constexpr std::chrono::milliseconds busy_delay{12};
    /// Maximum number of times that one statement is sent to an instance.
    static constexpr int max_attempts = 8;

    statement_run(event_base *base, statement_executor *executor, run_request request,
                  std::shared_ptr<session::session_context> session, std::shared_ptr<group_task> group,
                  std::shared_ptr<transaction> open_transaction);

    void start(done_hook done);

    /// Finishes the run with an error if its deadline has passed.
    void tick(time_point now);

    /// Finishes the run with an error, since the process ends.
    void stop();

    /// Refuses the statement with the code unless an instance has it at present; then it is not sent again.
    /// `busy` becomes `aborted` where a transaction is lost.
    void revoke(session::answer_code code, const std::string &text);

    /// Returns true if its route needs a key.
    [[nodiscard]] bool needs_key() const { return !request_.workspace.empty(); }

    /// Discards the result, since the caller has disconnected; `done` is not called any more.
    void abandon();

private:
    enum class stage : std::uint8_t
    {
        waiting, ///< not sent, or the last attempt has ended and will be retried
        sent,
        confirming,
        finished,
    };

    [[nodiscard]] static std::chrono::milliseconds share_of(std::chrono::milliseconds time, double share);
    [[nodiscard]] bool needs_primary() const;
    [[nodiscard]] bool is_commit() const;
    [[nodiscard]] std::string label() const;
    [[nodiscard]] bool changes_data() const;
    [[nodiscard]] time_point fresh_since() const;
    [[nodiscard]] std::optional<position> read_floor() const;

    void choose();
    void choose_primary();
    void choose_reader();
    void offer_to_reader();
    /// Returns true if the next attempt has a token, or needs none. Otherwise it selects an instance again,
    /// or refuses the statement, once this is known.
    bool take_token(const std::string &instance);
    void handle_token(const std::optional<std::string> &refusal);
    /// Spends the token if an instance may have run the statement: a repetition counts for the quota, too.
    void spend_token(const inner::execute_answer &answer);
    /// Returns a token that the statement holds and certainly has not used.
    void return_token();
    void send(const std::string &vm, const std::string &instance);
    void handle_answer(const inner::execute_answer &answer);
    void judge_instance(const inner::execute_answer &answer);
    [[nodiscard]] bool home_is_used() const;
    void log_failed_attempt(const char *outcome, const std::string &detail) const;
    void handle_late_answer(const inner::execute_answer &answer);
    void handle_loss(const inner::execute_answer &answer);
    void handle_error(const session::failure &error);
    void handle_cut(const session::failure &error);
    void handle_success(const session::statement_answer &answer);
    void confirm(time_point since);
    [[nodiscard]] time_point slot_wait_until(time_point now) const;
    void retry(std::chrono::milliseconds delay);
    void handle_overload(const std::string &reason);
    void drop_transaction();
    void finish_unanswered(const std::string &reason);
    void refuse(const std::string &reason);
    void refuse_revoked();
    void fail(session::answer_code code, std::string text);
    void finish();

    event_base *base_;
    statement_executor *executor_;
    run_request request_;
    std::shared_ptr<session::session_context> session_;
    std::shared_ptr<group_task> group_;
    std::shared_ptr<transaction> transaction_; ///< null: outside any transaction
    done_hook done_;
    stage stage_ = stage::waiting;
    time_point deadline_;
    time_point wait_limit_;
    int attempts_ = 0;
    routing::offer_history offers_; ///< of a read to instances
    bool refused_ = false;          ///< the last attempt was shed, or found a queue that was too long
    std::string overload_reason_;   ///< of the last instance whose queue was too long
    time_point slot_wait_until_;    ///< of the last attempt
    std::string vm_;                ///< VM of the home process of `instance_`; empty: this process
    std::string instance_;          ///< that the last attempt was sent to
    std::uint64_t term_ = 0;
    bool at_primary_ = false;
    std::optional<position> floor_;
    time_point sent_at_;
    bool judged_ = false; ///< the group knows whether the last attempt speaks for its instance
    run_result result_;
    bool abandoned_ = false;
    std::optional<session::failure> revoked_; ///< the answer in place of a further attempt
    bool awaits_token_ = false;               ///< `take_token` has returned without one
    bool has_token_ = false;                  ///< of the workspace's quota, for the next attempt
    std::unique_ptr<inner::timer> retry_timer_;
};

} // namespace baobabport::proxy
