#include "support/json_log.h"

#include <chrono>
#include <climits>
#include <glog/logging.h>
#include <map>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace baobabport::support {

using nlohmann::json;

namespace {

/// Wraps each line that glog hands on as one JSON object on standard output.
class json_sink : public google::LogSink
{
public:
    explicit json_sink(std::string process) : process_(std::move(process)) {}

    void send(google::LogSeverity severity, const char * /*full_filename*/, const char *file, int line,
              const google::LogMessageTime &time, const char *message, std::size_t length) override
    {
        json out;
        const std::string text(message, length);
        auto fields = json::parse(text, nullptr, false);
        if (fields.is_object())
            out = std::move(fields);
        else
            out["event"] = text;
        out["time"] = static_cast<double>(time.timestamp()) + time.usec() / 1e6;
        out["level"] = google::GetLogSeverityName(severity);
        out["process"] = process_;
        if (severity >= google::GLOG_WARNING)
            out["at"] = std::string(file) + ':' + std::to_string(line);
        if (dropped_ > 0)
            out["lines_dropped"] = dropped_;
        write_line(out.dump(-1, ' ', false, json::error_handler_t::replace));
    }

private:
    /// A pipe that is ready takes this many bytes whole.
    static constexpr std::size_t max_line = PIPE_BUF;

    void write_line(std::string line)
    {
        if (line.size() >= max_line)
            line = json{{"event", "line_too_long"}, {"bytes", line.size()}, {"process", process_}}.dump();
        line += '\n';
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        const bool taken = poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) &&
                           write(STDOUT_FILENO, line.data(), line.size()) >= 0;
        if (taken)
            dropped_ = 0;
        else
            ++dropped_;
    }

    std::uint64_t dropped_ = 0; ///< since the last line that was taken
    std::string process_;
};

/// Counts an event's lines of the present second.
struct event_volume
{
    std::chrono::steady_clock::time_point since;
    std::uint32_t written = 0;
    std::uint32_t left_out = 0;
};

/// Returns true if a line of the event may be written; reports what was left out before.
bool within_volume(const char *event, std::uint32_t limit)
{
    static std::map<std::string, event_volume> volumes; // the loop's thread is the only one that logs
    auto &volume = volumes[event];
    const auto now = std::chrono::steady_clock::now();
    if (now - volume.since >= std::chrono::seconds(1)) {
        if (volume.left_out > 0) {
            LOG(INFO) << json{{"event", "lines_left_out"}, {"of", event}, {"count", volume.left_out}}.dump();
        }
        volume = {now, 0, 0};
    }
    if (volume.written >= limit) {
        ++volume.left_out;
        return false;
    }
    ++volume.written;
    return true;
}

std::string line_of_fields(const char *event, std::initializer_list<log_field> fields)
{
    json out;
    out["event"] = event;
    for (const auto &it : fields)
        out[it.name] = it.value;
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

void start_json_log(const std::string &process)
{
    FLAGS_logtostderr = false;
    FLAGS_alsologtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    google::InitGoogleLogging(process.c_str());
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    static json_sink sink(process);
    google::AddLogSink(&sink);
}

void log_event(const char *event, std::initializer_list<log_field> fields)
{
    if (within_volume(event, max_lines_per_event))
        LOG(INFO) << line_of_fields(event, fields);
}

void log_routine(const char *event, std::initializer_list<log_field> fields)
{
    if (within_volume(event, max_routine_lines))
        LOG(INFO) << line_of_fields(event, fields);
}

void log_warning(const char *event, std::initializer_list<log_field> fields)
{
    if (within_volume(event, max_lines_per_event))
        LOG(WARNING) << line_of_fields(event, fields);
}

} // namespace baobabport::support
