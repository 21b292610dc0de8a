// Logging through glog as JSON lines on standard output, rate-limited and non-blocking.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>

namespace baobabport::support {

/**
 * Starts glog for the process: JSON lines on standard output, no files.
 *
 * A line that would block on a full pipe is dropped and counted; the count is written with the next line that
 * is written.
 */
void start_json_log(const std::string &process);

/// One typed field of a log line.
struct log_field
{
    const char *name;
    std::string value;
};

/// Limit for the lines of one event. It suffices to trace single requests and, at a few microseconds per
/// line, uses a small part of the processor of a small VM.
inline constexpr std::uint32_t max_event_lines_per_second = 60;
/// As above, for events of successful requests: these are omitted first.
inline constexpr std::uint32_t max_routine_lines_per_second = 10;

/**
 * Writes one line with the event and its fields. Never pass tokens, arguments or keys.
 *
 * Lines above an event's limit are omitted; their number is written with the event's first line after that
 * second.
 */
void log_event(const char *event, std::initializer_list<log_field> fields = {});

/// As `log_event`, for routine events, with a lower limit.
void log_routine(const char *event, std::initializer_list<log_field> fields = {});
void log_warning(const char *event, std::initializer_list<log_field> fields = {});

} // namespace baobabport::support
