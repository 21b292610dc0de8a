// One connection to an instance: statements go out in order, answers come back in the same order.

#pragma once

#include "platform/line_codec.h"
#include "session/messages.h"
#include "session/session_context.h"
#include "support/address.h"
#include "support/boot_clock.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

struct event_base;
struct bufferevent;

namespace baobabport::proxy {

using time_point = std::chrono::steady_clock::time_point;

/// Where a connection leads.
struct upstream_target
{
    support::address at;
    std::string service;
    std::string instance; ///< expected there; another one refuses
    std::string caller;   ///< how the proxy names itself
};

/**
 * A connection to one instance.
 *
 * Reports its end once, through `closed`; statements without an answer are reported before that.
 */
class upstream_connection : public std::enable_shared_from_this<upstream_connection>
{
public:
    /// None: the connection ended before the whole answer came.
    using answer_hook = std::function<void(const std::optional<session::statement_answer> &)>;

    struct hooks
    {
        std::function<void()> opened;
        std::function<void()> sent;     ///< a statement went out
        std::function<void()> answered; ///< a whole answer came in
        /// `refusal` holds the instance's word if it refused the connection.
        std::function<void(const std::optional<session::failure> &refusal)> closed;
    };

    upstream_connection(event_base *base, upstream_target target);
    ~upstream_connection();
    upstream_connection(const upstream_connection &) = delete;
    upstream_connection &operator=(const upstream_connection &) = delete;

    void open(hooks new_hooks);

    /// Sends a statement behind those that wait for their answers.
    void send(std::string_view id, std::string_view text, answer_hook done);

    /// Ends the connection as if the instance had; statements without an answer are reported as lost.
    void end_without_answer() { end(std::nullopt); }

    /// Ends the connection; an open transaction rolls back. Reports nothing.
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

    /// Returns when the first statement without an answer was sent.
    [[nodiscard]] time_point oldest_sent() const { return waiting_.front().sent_at; }
    [[nodiscard]] time_point created_at() const { return created_at_; }
    [[nodiscard]] const std::string &instance() const { return target_.instance; }

    /// Returns where the connection stood after its last answer.
    [[nodiscard]] session::transaction_state state() const { return state_; }

    /// When a statement that has no answer by then makes the connection worthless.
    time_point deadline;

    /// What earlier users left on the connection.
    session::session_values values;
    std::set<std::string> prepared; ///< by shared name

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
    void finish_answer(const session::prompt &end);
    void end(const std::optional<session::failure> &refusal);
    void close_socket();

    event_base *base_;
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
