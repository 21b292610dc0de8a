// Client of the platform's metadata store.

#pragma once

#include "consistency/store_era.h"
#include "http/http_client.h"
#include "support/address.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct event_base;

namespace baobabport::platform {

using consistency::store_era;
using consistency::store_position;

/// Outcome of a call to the store.
enum class call_outcome : std::uint8_t
{
    done,
    missing,      ///< no such key or lease
    conflict,     ///< a precondition did not hold; nothing was changed
    history_gone, ///< a watch must be restarted from a new read
    refused,      ///< rate limit exceeded or out of service; nothing was changed
    no_answer,    ///< may have been executed, or may be executed later
};

struct stored_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
    bool removed = false; ///< in a watch: the key was removed
};

struct store_reply
{
    call_outcome outcome = call_outcome::no_answer;
    std::string reason; ///< for logs, if the outcome is not `done`
    std::vector<stored_item> items;
    bool more = false;          ///< a listing has further items after the last one
    std::uint64_t revision = 0; ///< of the store at the time of the answer, or of the change
    store_era era;              ///< in which the store served the call
    std::uint64_t lease = 0;
    std::chrono::milliseconds lease_time{0};

    [[nodiscard]] store_position position() const { return {era, revision}; }
};

struct key_condition
{
    std::string key;
    std::uint64_t revision = 0; ///< 0: the key must not exist
};

struct key_write
{
    std::string key;
    std::string value;
    std::uint64_t lease = 0; ///< 0: the key does not expire
};

struct key_change
{
    std::vector<key_condition> conditions;
    std::vector<key_write> writes;
    std::vector<std::string> removals;
};

/// Returns the call that reads a key.
http::client_request read_call(const std::string &key, std::chrono::milliseconds timeout);

/// Returns the call that changes keys.
http::client_request change_call(const key_change &what, std::chrono::milliseconds timeout);

/// Returns the reply that the answer to a call contains.
store_reply read_reply(const http::client_answer &answer);

/// Returns the era of the store that an answer names, or none if it names none or is malformed.
std::optional<store_era> read_store_era(const http::client_answer &answer);

/**
 * Sends calls to the store. A connection on which a call was not answered is not used again.
 *
 * Follows the era of the store. An answer of an earlier era than the last one seen counts as no answer; one
 * that names no era belongs to the last one seen.
 */
class metadata_client
{
public:
    using reply_hook = std::function<void(const store_reply &)>;

    metadata_client(event_base *base, support::address at);
    ~metadata_client();
    metadata_client(const metadata_client &) = delete;
    metadata_client &operator=(const metadata_client &) = delete;

    void read(const std::string &key, std::chrono::milliseconds timeout, reply_hook done);

    /// Reads a value that may be seconds old; a cheap call that shows whether the store answers.
    void read_stale(const std::string &key, std::chrono::milliseconds timeout, reply_hook done);

    /// Lists keys by prefix, one page that starts after the key `after`.
    void list(const std::string &prefix, const std::string &after, std::chrono::milliseconds timeout,
              reply_hook done);

    /// Waits at most `wait` for changes after the position `after`; `history_gone` if that is of another era.
    void watch(const std::string &prefix, store_position after, std::chrono::milliseconds wait,
               reply_hook done);

    void change(const key_change &what, std::chrono::milliseconds timeout, reply_hook done);

    void open_lease(std::chrono::milliseconds time, std::chrono::milliseconds timeout, reply_hook done);
    void renew_lease(std::uint64_t lease, std::chrono::milliseconds timeout, reply_hook done);
    void end_lease(std::uint64_t lease, std::chrono::milliseconds timeout, reply_hook done);

    /// Sends later calls to another address of the store.
    void set_address(const support::address &at);

    /// Sets a hook that is called when an answer shows a new era, before the reply to that call is delivered.
    void on_new_era(std::function<void()> hook);

    /// Returns the latest era seen.
    [[nodiscard]] store_era era() const;

    /// Returns the number of answers whose era was malformed.
    [[nodiscard]] std::uint64_t malformed_eras() const;

    [[nodiscard]] std::uint64_t calls() const;

    /// Returns the time at which the last call that the store served was sent.
    [[nodiscard]] std::chrono::steady_clock::time_point last_served_call_at() const;

    /// A call that was sent longer ago than this is not evidence of the present state of the store.
    static constexpr std::chrono::milliseconds max_attempt_age{1500};

    /// Returns for how long the store has not served any call, or 0 if it served the last one or if none was
    /// sent within `max_attempt_age`. A watch counts only after it has failed.
    [[nodiscard]] std::chrono::milliseconds unanswered_for(std::chrono::steady_clock::time_point now) const;

    /// Returns the time at which the last call other than a watch was sent.
    [[nodiscard]] std::chrono::steady_clock::time_point last_call_at() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace baobabport::platform
