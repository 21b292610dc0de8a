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
struct work_request
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
enum class work_outcome : std::uint8_t
{
    answered,
    not_run, ///< proven: it was not sent to the instance
    lost,    ///< sent, and no answer came
};

struct work_answer
{
    work_outcome outcome = work_outcome::not_run;
    std::string reason;      ///< unless it was answered
    bool overloaded = false; ///< not run since it would have waited too long
    session::statement_answer answer;
    std::uint64_t transaction = 0; ///< that is open now; 0: none
};

/// Ends a transaction without its commit.
struct work_end
{
    std::uint64_t transaction = 0;
};

[[nodiscard]] std::string encode(const work_request &message);
[[nodiscard]] std::string encode(const work_answer &message);
[[nodiscard]] std::string encode(const work_end &message);

/// Return the message, or none if the bytes are not one.
[[nodiscard]] std::optional<work_request> decode_work_request(std::string_view bytes);
[[nodiscard]] std::optional<work_answer> decode_work_answer(std::string_view bytes);
[[nodiscard]] std::optional<work_end> decode_work_end(std::string_view bytes);

} // namespace baobabport::inner
