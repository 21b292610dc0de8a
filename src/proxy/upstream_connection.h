// One connection to an instance; answers arrive in the order in which the statements were sent.

#pragma once

#include "limits/memory_account.h"
#include "platform/line_codec.h"
#include "session/connection_state.h"
#include "session/messages.h"
#include "support/address.h"
#include "support/boot_clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct event_base;
struct bufferevent;

namespace baobabport::proxy {

using time_point = std::chrono::steady_clock::time_point;

/// Address and expected identity of the instance that a connection is opened to.
struct upstream_target
{
    support::address at;
    std::string service;
    std::string instance; ///< expected at the address; another instance refuses the connection
    std::string caller;   ///< name that the proxy sends as its own
    std::shared_ptr<limits::memory_account> memory = nullptr; ///< charged with answers; null: they are not
};

/**
 * A connection to one instance.
 *
 * Calls `closed` once when the connection ends; before that, the hooks of unanswered statements are called.
 */
class upstream_connection : public std::enable_shared_from_this<upstream_connection>
{
public:
    /// Receives none if the connection ended before the answer was complete.
    using answer_hook = std::function<void(const std::optional<session::statement_answer> &)>;

    struct hooks
    {
        std::function<void()> opened;
        std::function<void()> sent;     ///< a statement was sent
        std::function<void()> answered; ///< a complete answer was received
        /// `refusal` is the instance's failure message if it refused the connection.
        std::function<void(const std::optional<session::failure> &refusal)> closed;
    };

    upstream_connection(event_base *base, upstream_target target);
    ~upstream_connection();
    upstream_connection(const upstream_connection &) = delete;
    upstream_connection &operator=(const upstream_connection &) = delete;

    void open(hooks new_hooks);

    /// Sends a statement without waiting for the answers to earlier ones.
    void send(std::string_view id, std::string_view text, answer_hook done);

    /// Ends the connection as if the instance had closed it: unanswered statements are reported as lost.
    void end_without_answer() { end(std::nullopt); }

    /// Closes the connection without calling any hook; the instance rolls back an open transaction.
    void abandon();

    [[nodiscard]] bool is_open() const { return open_; }
    [[nodiscard]] bool was_open() const { return was_open_; }

    /// Returns true if nothing listens at the address, or another instance does.
    [[nodiscard]] bool is_absent() const
    {
        return no_listener_ || (refusal_ && refusal_->code == session::answer_code::moved);
    }
    [[nodiscard]] bool is_closed() const { return socket_ == nullptr; }
    [[nodiscard]] std::size_t unanswered() const { return waiting_.size(); }

    /// Returns the time at which the oldest unanswered statement was sent; there must be one.
    [[nodiscard]] time_point oldest_sent() const { return waiting_.front().sent_at; }
    [[nodiscard]] time_point created_at() const { return created_at_; }
    [[nodiscard]] const std::string &instance() const { return target_.instance; }

    /// Returns the transaction state after the last answer.
    [[nodiscard]] session::transaction_state state() const { return state_; }

    /// The connection is closed if a statement is still unanswered at this time.
    time_point deadline;

    std::uint64_t number = 0; ///< within its pool, for logs
    std::string workspace;    ///< to which it belongs; empty: to the proxy itself

    session::connection_state session_state; ///< set up by the sessions that have used the connection

private:
    struct pending
    {
        answer_hook done;
        session::statement_answer answer;
        time_point sent_at;
    };

    static void on_read(bufferevent *socket, void *self);
    static void on_event(bufferevent *socket, short what, void *self);

    void handle_message(const session::instance_message &message);
    void charge();
    /// Drops the rows that have arrived, since the memory for answers is used up.
    void drop_rows();
    void finish_answer(const session::prompt &end);
    void end(const std::optional<session::failure> &refusal);
    void close_socket();

    event_base *base_;
    std::optional<limits::memory_charge> charge_; ///< of the answers that are arriving
    upstream_target target_;
    hooks hooks_;
    bufferevent *socket_ = nullptr;
    platform::line_reader reader_;
    std::deque<pending> waiting_;
    std::optional<session::failure> refusal_;
    bool open_ = false;
    bool was_open_ = false;
    bool no_listener_ = false;
    session::transaction_state state_ = session::transaction_state::none;
    time_point created_at_ = support::boot_clock::now();
};

} // namespace baobabport::proxy
