// A connection between two of the system's processes: nghttp2 streams over a libevent socket.

#pragma once

#include "support/address.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace baobabport::inner {

/// The kinds of message a stream can carry; each is the path of its stream.
enum class message_kind : std::uint8_t
{
    hello,
    prove,
    statement,
    view,
    document,
    execute_statement,   ///< a statement for an instance whose connections the other side holds
    rollback_transaction ///< ends a transaction there
};

/// How a sent message ended.
struct stream_outcome
{
    bool answered = false;
    bool may_have_arrived = true; ///< false: proven that the other side did not act on it
    std::string body;             ///< of the answer
};

/// Keys that prove membership; the former one is accepted while keys change.
struct shared_keys
{
    std::string key;
    std::string former_key;
};

/**
 * One end of a connection.
 *
 * Both ends prove the shared key before any other message passes: each answers the other's nonce with an
 * HMAC over it. Messages sent before that wait. Flow control is that of the streams' windows.
 *
 * Invariant: each `send` ends in exactly one call of its callback, unless the object is destroyed first.
 */
class stream_connection
{
public:
    using stream_id = std::int32_t;
    using outcome_hook = std::function<void(const stream_outcome &)>;

    struct hooks
    {
        /// A message that came in; answered with `reply`, now or later.
        std::function<void(message_kind, const std::string &body, stream_id)> received;
        std::function<void(const std::string &reason)> closed; ///< the last call
    };

    /// Connects to the address; failure comes through `closed`.
    static std::unique_ptr<stream_connection> connect(event_base *base, const support::address &to,
                                                      const std::string &process, const shared_keys &keys,
                                                      hooks connection_hooks);

    /// Takes over an accepted socket.
    static std::unique_ptr<stream_connection> accept(event_base *base, int socket, const std::string &process,
                                                     const shared_keys &keys, hooks connection_hooks);

    ~stream_connection();
    stream_connection(const stream_connection &) = delete;
    stream_connection &operator=(const stream_connection &) = delete;

    /// Sends a message; the outcome comes within `timeout`.
    void send(message_kind kind, std::string body, std::chrono::milliseconds timeout, outcome_hook done);

    /// Answers a message that came in. A stream that ended meanwhile is passed over.
    void reply(stream_id stream, std::string body);

    /// Ends the connection; what the other side has not received yet never arrives.
    void discard();

    /// Tells the other side to send nothing new; what is in progress goes on.
    void announce_stop();

    [[nodiscard]] bool ready() const;

    /// The other side announced its stop.
    [[nodiscard]] bool stopping() const;

    /// Sent and not answered yet.
    [[nodiscard]] std::size_t outstanding() const;

    static constexpr std::size_t max_message = 2U << 20U; ///< bytes

private:
    class impl;
    explicit stream_connection(std::unique_ptr<impl> it);
    std::unique_ptr<impl> impl_;
};

} // namespace baobabport::inner
