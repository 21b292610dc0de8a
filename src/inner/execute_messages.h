// The messages that forward a statement to the process that owns an instance's connections, and its answer.

#pragma once

#include "session/messages.h"
#include "session/session_context.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabport::inner {

/// Whether the statement begins a transaction, and of which kind.
enum class begin_mode : std::uint8_t
{
    none,
    read_write,
    read_only,
};

/**
 * One statement for one instance, with the session state that its connection must have.
 */
struct execute_request
{
    std::string service;
    std::string instance;
    std::uint32_t priority = 0;             ///< 0 is served first
    std::string label;                      ///< statements of one label take about the same time
    std::chrono::milliseconds time_left{0}; ///< for the statement
    std::chrono::milliseconds wait_left{0}; ///< the longest wait for a connection
    session::session_values values;
    std::optional<session::prepared_statement> prepared; ///< must be prepared on the connection
    begin_mode begin = begin_mode::none;
    std::optional<consistency::position> floor; ///< the instance's log must have reached it; none: no minimum
    std::uint64_t transaction = 0;              ///< the open transaction it belongs to; 0: none
    std::string id;
    std::string text;      ///< names `prepared` by its `peer_name()`
    std::string workspace; ///< on whose connections it runs; empty: on those of the proxy itself
};

/// The outcome of a forwarded statement.
enum class execute_outcome : std::uint8_t
{
    answered, ///< also if a process refuses it on the instance's behalf
    not_run,  ///< it was certainly not sent to the instance
    lost,     ///< sent, and no answer came
};

struct execute_answer
{
    execute_outcome outcome = execute_outcome::not_run;
    std::string reason;      ///< unless it was answered
    bool overloaded = false; ///< not run since it would have waited too long
    session::statement_answer answer;
    std::uint64_t transaction = 0; ///< the transaction that is open afterwards; 0: none
};

/// Rolls back an open transaction.
struct rollback_request
{
    std::uint64_t transaction = 0;
};

[[nodiscard]] std::string encode(const execute_request &message);
[[nodiscard]] std::string encode(const execute_answer &message);
[[nodiscard]] std::string encode(const rollback_request &message);

/// Return the decoded message, or none if the bytes are not a message of that type.
[[nodiscard]] std::optional<execute_request> decode_execute_request(std::string_view bytes);
[[nodiscard]] std::optional<execute_answer> decode_execute_answer(std::string_view bytes);
[[nodiscard]] std::optional<rollback_request> decode_rollback_request(std::string_view bytes);

} // namespace baobabport::inner
