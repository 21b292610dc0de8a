// glog writing JSON lines to standard output, in a bounded volume and without ever waiting.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>

namespace baobabport::support {

/**
 * Starts glog for the process: JSON lines on standard output, no files.
 *
 * A line that a full pipe does not take is dropped and counted; the count is written with the next line
 * that it takes.
 */
void start_json_log(const std::string &process);

/// One typed field of a log line.
struct log_field
{
    const char *name;
    std::string value;
};

/// Lines of one event that are written within a second; enough to follow single requests, and at a few
/// microseconds a line a small part of a small VM's processor.
inline constexpr std::uint32_t max_event_lines_per_second = 60;
/// As above, for events of requests that went well: these are left out first.
inline constexpr std::uint32_t max_routine_lines_per_second = 10;

/**
 * Writes one line with the event and its fields. Never pass tokens, arguments or keys.
 *
 * Lines over an event's limit are left out; how many is written in the next second.
 */
void log_event(const char *event, std::initializer_list<log_field> fields = {});

/// As `log_event`, for what is no news.
void log_routine(const char *event, std::initializer_list<log_field> fields = {});
void log_warning(const char *event, std::initializer_list<log_field> fields = {});

} // namespace baobabport::support
