#include "support/json_log.h"

#include <chrono>
#include <cstdio>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace baobabport::support {

using nlohmann::json;

namespace {

/// Wraps each line that glog hands on as one JSON object on standard error.
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
        const auto dumped = out.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
        std::fputs(dumped.c_str(), stderr);
    }

private:
    std::string process_;
};

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
    LOG(INFO) << line_of_fields(event, fields);
}

void log_warning(const char *event, std::initializer_list<log_field> fields)
{
    LOG(WARNING) << line_of_fields(event, fields);
}

} // namespace baobabport::support
