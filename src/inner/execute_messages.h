// A statement on its way to the process that holds an instance's connections, and its answer.

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

/// Whether a transaction begins with the statement.
enum class begin_mode : std::uint8_t
{
    none,
    read_write,
    read_only,
};

/**
 * One statement for one instance, with all that its connection must have.
 */
struct execute_request
{
    std::string service;
    std::string instance;
    std::uint32_t priority = 0;             ///< 0 is served first
    std::string label;                      ///< statements of one label take about the same time
    std::chrono::milliseconds time_left{0}; ///< for the statement
    std::chrono::milliseconds wait_left{0}; ///< it may wait so long for a connection
    session::session_values values;
    std::optional<session::prepared_statement> prepared; ///< must be known to the connection
    begin_mode begin = begin_mode::none;
    std::optional<consistency::position> floor; ///< the log must hold it; none: any will do
    std::uint64_t transaction = 0;              ///< 0: not within one that is open
    std::string id;
    std::string text;
};

/// What became of the work.
enum class execute_outcome : std::uint8_t
{
    answered,
    not_run, ///< proven: it was not sent to the instance
    lost,    ///< sent, and no answer came
};

struct execute_answer
{
    execute_outcome outcome = execute_outcome::not_run;
    std::string reason;      ///< unless it was answered
    bool overloaded = false; ///< not run since it would have waited too long
    session::statement_answer answer;
    std::uint64_t transaction = 0; ///< that is open now; 0: none
};

/// Ends a transaction without its commit.
struct rollback_request
{
    std::uint64_t transaction = 0;
};

[[nodiscard]] std::string encode(const execute_request &message);
[[nodiscard]] std::string encode(const execute_answer &message);
[[nodiscard]] std::string encode(const rollback_request &message);

/// Return the message, or none if the bytes are not one.
[[nodiscard]] std::optional<execute_request> decode_execute_request(std::string_view bytes);
[[nodiscard]] std::optional<execute_answer> decode_execute_answer(std::string_view bytes);
[[nodiscard]] std::optional<rollback_request> decode_rollback_request(std::string_view bytes);

} // namespace baobabport::inner
