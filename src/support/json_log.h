// glog writing JSON lines to standard error.

#pragma once

#include <string>

namespace baobabport::support {

/**
 * Starts glog for the process: JSON lines on standard error, no files.
 */
void start_json_log(const std::string &process);

/// One typed field of a log line.
struct log_field
{
    const char *name;
    std::string value;
};

/**
 * Writes one line with the event and its fields. Never pass tokens, arguments or keys.
 */
void log_event(const char *event, std::initializer_list<log_field> fields = {});
void log_warning(const char *event, std::initializer_list<log_field> fields = {});

} // namespace baobabport::support
