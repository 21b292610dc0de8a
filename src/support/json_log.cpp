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

/// Writes each glog message as one JSON object on standard output.
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
        if (dropped_lines_ > 0)
            out["lines_dropped"] = dropped_lines_;
        write_line(out.dump(-1, ' ', false, json::error_handler_t::replace));
    }

private:
    /// A write of up to this many bytes to a pipe that is ready is atomic.
    static constexpr std::size_t max_line_size = PIPE_BUF;

    void write_line(std::string line)
    {
        if (line.size() >= max_line_size)
            line = json{{"event", "line_too_long"}, {"bytes", line.size()}, {"process", process_}}.dump();
        line += '\n';
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        const bool accepted = poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) &&
                              write(STDOUT_FILENO, line.data(), line.size()) >= 0;
        if (accepted)
            dropped_lines_ = 0;
        else
            ++dropped_lines_;
    }

    std::uint64_t dropped_lines_ = 0; ///< since the last line that was written
    std::string process_;
};

/// Counts the lines of one event in the current second.
struct event_rate
{
    std::chrono::steady_clock::time_point second_began_at;
    std::uint32_t written = 0;
    std::uint32_t omitted = 0;
};

/// Returns true if a line of the event may be written; logs how many lines were omitted before.
bool within_rate_limit(const char *event, std::uint32_t limit)
{
    static std::map<std::string, event_rate> rates; // only the event loop's thread logs
    auto &rate = rates[event];
    const auto now = std::chrono::steady_clock::now();
    if (now - rate.second_began_at >= std::chrono::seconds(1)) {
        if (rate.omitted > 0) {
            LOG(INFO) << json{{"event", "lines_left_out"}, {"of", event}, {"count", rate.omitted}}.dump();
        }
        rate = {now, 0, 0};
    }
    if (rate.written >= limit) {
        ++rate.omitted;
        return false;
    }
    ++rate.written;
    return true;
}

std::string format_line(const char *event, std::initializer_list<log_field> fields)
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
    if (within_rate_limit(event, max_event_lines_per_second))
        LOG(INFO) << format_line(event, fields);
}

void log_routine(const char *event, std::initializer_list<log_field> fields)
{
    if (within_rate_limit(event, max_routine_lines_per_second))
        LOG(INFO) << format_line(event, fields);
}

void log_warning(const char *event, std::initializer_list<log_field> fields)
{
    if (within_rate_limit(event, max_event_lines_per_second))
        LOG(WARNING) << format_line(event, fields);
}

} // namespace baobabport::support
