// One caller's session: its socket, its state, and the statement in progress.

#pragma once

#include "directory/route_table.h"
#include "proxy/statement_run.h"
#include "support/metrics.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct event_base;
struct bufferevent;

namespace baobabport::proxy {

/// What all sessions of a process share.
struct session_environment
{
    event_base *base = nullptr;
    directory::route_table *routes = nullptr;
    support::metrics *metrics = nullptr;
    statement_executor *executor = nullptr;
    std::function<std::shared_ptr<group_task>(const std::string &service)> group_of;
};

/**
 * Serves one caller.
 *
 * Answers begin, rollback, values and prepared statements itself; reads, writes and commits go to an
 * instance. A begin reaches an instance with the first statement that needs one.
 */
class caller_task : public std::enable_shared_from_this<caller_task>
{
public:
    /// A caller that has not named its database by then is cut off.
    static constexpr std::chrono::milliseconds open_timeout{5000};
    /// Bytes that a caller may send ahead while a statement runs; the rest waits on its side.
    static constexpr std::size_t max_buffered_input = std::size_t{256} * 1024;
    /// Bytes that a caller may leave unread before its statements wait.
    static constexpr std::size_t max_buffered_output = std::size_t{4} * 1024 * 1024;

    caller_task(const session_environment &environment, int socket, std::uint64_t number,
                std::function<void(std::uint64_t)> ended);
    ~caller_task();
    caller_task(const caller_task &) = delete;
    caller_task &operator=(const caller_task &) = delete;

    void start();
    void tick(time_point now);

    /// Ends the session at its next rest: now, if no transaction is open and nothing is running.
    void close_when_idle();

    /// Ends the transaction in progress, so that the session comes to rest.
    void end_transaction(const std::string &reason);

    [[nodiscard]] bool idle() const { return !run_ && !transaction_; }

private:
    enum class phase : std::uint8_t
    {
        opening, ///< no database is named yet
        ready,
        closing, ///< the last bytes are on their way out
    };

    static void on_read(bufferevent *socket, void *self);
    static void on_write(bufferevent *socket, void *self);
    static void on_event(bufferevent *socket, short what, void *self);

    void process_lines();
    std::optional<std::string> next_line();
    [[nodiscard]] bool output_is_full() const;
    void handle_message(const session::caller_message &message);
    void handle_message(const session::open_session &message);
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
    bufferevent *socket_ = nullptr;
    std::uint64_t number_;
    std::function<void(std::uint64_t)> ended_;
    platform::line_reader reader_;
    phase phase_ = phase::opening;
    std::string database_;
    std::shared_ptr<session::session_context> session_;
    std::shared_ptr<statement_run> run_;
    std::shared_ptr<transaction> transaction_;
    bool failed_transaction_ = false; ///< only an end is accepted
    bool close_when_idle_ = false;
    bool processing_lines_ = false; ///< within `process_lines`
    time_point last_message_;
};

} // namespace baobabport::proxy
