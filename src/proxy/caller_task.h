// Session of one caller: owns the socket, the session state and the statement in progress.

#pragma once

#include "directory/route_table.h"
#include "proxy/caller_buffers.h"
#include "proxy/shutdown_schedule.h"
#include "proxy/statement_run.h"
#include "support/metrics.h"
#include "workspace/key_index.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct event_base;
struct bufferevent;

namespace baobabport::proxy {

/// Dependencies that all sessions of a process share.
struct session_environment
{
    event_base *base = nullptr;
    directory::route_table *routes = nullptr;
    const workspace::key_index *keys = nullptr;
    /// Returns false while the keys may be outdated and the settings call for refusal in this case.
    std::function<bool()> keys_are_current;
    support::metrics *metrics = nullptr;
    statement_executor *executor = nullptr;
    std::function<std::shared_ptr<group_task>(const std::string &service)> group_of;
    std::function<void()> directory_needed; ///< called while a caller waits for the first desired state
    /// Takes a token of the workspace's quota for an operation.
    std::function<void(const std::string &workspace, token_hook done)> take_token;
    std::function<void(const std::string &workspace)> return_token;
    std::shared_ptr<client_limits> limits;
    const shutdown_schedule *shutdown = nullptr; ///< of the process
};

/**
 * Serves the session of one caller.
 *
 * Answers begin, rollback, session values and prepared statements locally; forwards reads, writes, executes
 * and commits to an instance. A begin is sent to an instance with the first statement of the transaction that
 * needs one.
 */
class caller_task : public std::enable_shared_from_this<caller_task>
{
public:
    /// A session is closed if the caller has not named a database within this time.
    static constexpr std::chrono::milliseconds open_timeout{5000};
    /// A session waits this long for the first desired state of a process that has just started: many times
    /// as long as the store usually takes to answer. Later answers are too late for the caller.
    static constexpr std::chrono::milliseconds routes_timeout{150};

    caller_task(const session_environment &environment, int socket, std::uint64_t number,
                std::function<void(std::uint64_t)> ended);
    ~caller_task();
    caller_task(const caller_task &) = delete;
    caller_task &operator=(const caller_task &) = delete;

    void start();
    void tick(time_point now);

    /// Ends the session if its key is not valid any more in the desired state that has just been applied.
    void check_key();

    /// Closes the session as soon as it is idle: at once if no transaction is open and no statement runs.
    void close_when_idle();

    /// Rolls back the open transaction unless a statement runs. The caller's next statement reports it; the
    /// session is idle once the caller ends the transaction.
    void end_transaction(const std::string &reason);

    /// Answers the statement that runs, since the process ends; it may have run.
    void stop_statement();

    /// Closes the session because of a limit.
    void shed(const char *reason);

    [[nodiscard]] bool idle() const { return !run_ && !transaction_; }

    /// Returns true if the caller has named no database yet.
    [[nodiscard]] bool silent() const { return phase_ == phase::opening && !awaits_routes_; }

    /// Returns when the caller sent its last message, if the session runs nothing and has no transaction that
    /// could still be committed.
    [[nodiscard]] std::optional<time_point> resting_since() const;

private:
    static constexpr const char *keys_outdated =
        "the desired state is too old to verify keys; retry in 1000 ms";

    enum class phase : std::uint8_t
    {
        opening, ///< the caller has not named a database yet
        ready,
        closing, ///< the remaining output is being sent
    };

    static void on_read(bufferevent *socket, void *self);
    static void on_write(bufferevent *socket, void *self);
    static void on_event(bufferevent *socket, short what, void *self);

    void process_lines();
    /// Charges what the session holds. This may end it, or other sessions.
    void charge();
    /// Returns false, with a reason, if there is no memory for a statement of this size.
    bool has_room(std::size_t bytes);
    void handle_message(const session::caller_message &message);
    void handle_message(const session::open_session &message);
    void open_session();
    void refuse_session(session::answer_code code, const std::string &reason);
    /// Returns true if the caller may use the route at present; otherwise it has been answered. `ends`: the
    /// statement ends the transaction.
    bool admit(const directory::route &destination, bool ends);
    void handle_denied();
    void handle_message(const session::statement_request &message);
    void answer_locally(const session::statement &what, const session::statement_request &message);
    void begin(bool read_only);
    void roll_back();
    void forward(const session::statement &what, const session::statement_request &message);
    void handle_result(const std::string &id, run_result result);
    void reply_success();
    void reply_failure(session::answer_code code, const std::string &text);
    void reply(const std::string &bytes);
    void release_transaction();
    void close_after_write();
    void end();
    [[nodiscard]] session::transaction_state state() const;
    [[nodiscard]] std::shared_ptr<const directory::route> route();

    session_environment environment_;
    [[nodiscard]] bool open() const { return buffers_ && buffers_->socket(); }

    std::unique_ptr<caller_buffers> buffers_; ///< from `start`
    int accepted_;                            ///< the socket, until `start`
    std::uint64_t number_;
    std::function<void(std::uint64_t)> ended_;
    std::size_t statement_bytes_ = 0; ///< of the statement that runs
    phase phase_ = phase::opening;
    std::string database_;
    std::string key_hash_;  ///< of the key that the caller presented
    std::string workspace_; ///< that the key identifies; empty: none, on a public route or without workspaces
    bool key_removed_ = false;
    std::shared_ptr<session::session_context> session_;
    std::shared_ptr<statement_run> run_;
    std::shared_ptr<transaction> transaction_;
    bool failed_transaction_ = false; ///< only COMMIT or ROLLBACK is accepted
    bool end_unreported_ = false;     ///< the caller does not know yet that its transaction is rolled back
    bool awaits_routes_ = false;      ///< the caller named its database, and no desired state is known yet
    bool close_when_idle_ = false;
    bool processing_lines_ = false; ///< `process_lines` is on the call stack
    time_point last_message_;
};

} // namespace baobabport::proxy
