// A connection between two processes of the system: nghttp2 streams over a libevent socket.

#pragma once

#include "limits/memory_account.h"
#include "support/address.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace baobabport::inner {

/// The kinds of message that a stream can carry. Each kind has an HTTP path of its own.
enum class message_kind : std::uint8_t
{
    hello,
    prove,
    statement,
    view,
    document,
    execute_statement,    ///< a statement for an instance whose connections the other side owns
    rollback_transaction, ///< rolls back a transaction on the other side
    read_directory,       ///< asks for what the other side last read from the store
    deposit_tokens,       ///< deposits tokens of quotas with pools of the other side
    withdraw_tokens       ///< withdraws such tokens
};

/// The outcome of a sent message.
struct stream_outcome
{
    bool answered = false;
    bool may_have_arrived = true; ///< false: the other side certainly did not act on it
    std::string body;             ///< of the answer
    bool too_long = false;        ///< not sent, since it is longer than `max_message`
};

/// The shared keys with which processes authenticate. The former key is also accepted during a key rotation.
struct shared_keys
{
    std::string key;
    std::string former_key;
};

/// The bounds of a link.
struct link_limits
{
    std::shared_ptr<limits::memory_account> account;              ///< null: messages are not charged
    std::function<void(const char *reason)> record = [](auto) {}; ///< called for each measure against a link
};

/**
 * One end of a connection.
 *
 * Both ends prove that they have the shared key before any other message is sent: each answers the other's
 * nonce with an HMAC over it. Messages passed to `send` before that are queued. Flow control is that of the
 * HTTP/2 streams' windows.
 *
 * Invariant: each `send` leads to exactly one call of its callback, unless the object is destroyed first.
 */
class stream_connection
{
public:
    using stream_id = std::int32_t;
    using outcome_hook = std::function<void(const stream_outcome &)>;

    struct hooks
    {
        /// Called for each received message, which is answered with `reply`, at once or later.
        std::function<void(message_kind, const std::string &body, stream_id)> received;
        std::function<void(const std::string &reason)> closed; ///< no hook is called afterwards
    };

    /// Connects to the address. A failure is reported through `closed`.
    static std::unique_ptr<stream_connection> connect(event_base *base, const support::address &to,
                                                      const std::string &process, const shared_keys &keys,
                                                      hooks connection_hooks, link_limits limits = {});

    /// Returns the server's end of a connection on an accepted socket, which it then owns.
    static std::unique_ptr<stream_connection> accept(event_base *base, int socket, const std::string &process,
                                                     const shared_keys &keys, hooks connection_hooks,
                                                     link_limits limits = {});

    ~stream_connection();
    stream_connection(const stream_connection &) = delete;
    stream_connection &operator=(const stream_connection &) = delete;

    /// Sends a message. Its outcome is reported within `timeout`, which begins when the keys are proved, or
    /// at once if it is not sent.
    void send(message_kind kind, std::string body, std::chrono::milliseconds timeout, outcome_hook done);

    /// Answers a received message. Does nothing and returns false if its stream has ended meanwhile.
    bool reply(stream_id stream, std::string body);

    /// Closes the connection so that data which the other side has not received yet never arrives.
    void discard();

    /// Asks the other side to send no new messages. Messages in flight are still answered.
    void announce_stop();

    [[nodiscard]] bool ready() const;

    /// Returns whether the other side has proved its key.
    [[nodiscard]] bool proved() const;

    /// Returns whether the other side announced its stop.
    [[nodiscard]] bool stopping() const;

    /// Returns the number of messages that were sent or queued and are not answered yet; 0 at a server's end.
    [[nodiscard]] std::size_t outstanding() const;

    static constexpr std::size_t max_message = 4U << 20U; ///< bytes

    /// The server's end closes a link that has not proved its key within this time: longer than the client's
    /// end waits for the two answers that it needs, 3 s each.
    static constexpr std::chrono::milliseconds proof_timeout{7000};
    /// Maximum size of the two messages of the proof, in bytes.
    static constexpr std::size_t max_proof_message = std::size_t{4} * 1024;
    /// Bytes of unsent output above which nothing more is encoded; the rest waits in the streams' windows.
    static constexpr std::size_t max_output = std::size_t{256} * 1024;
    /// Copies of a message while it is handled: its bytes and the decoded request.
    static constexpr std::size_t copies_of_message = 2;

private:
    class impl;
    explicit stream_connection(std::unique_ptr<impl> it);
    std::unique_ptr<impl> impl_;
};

} // namespace baobabport::inner
