// Keeps the log lines of the process while it exists.

#pragma once

#include <glog/logging.h>
#include <string>
#include <vector>

namespace testing {

class log_capture : private google::LogSink
{
public:
    log_capture() { google::AddLogSink(this); }
    ~log_capture() override { google::RemoveLogSink(this); }
    log_capture(const log_capture &) = delete;
    log_capture &operator=(const log_capture &) = delete;

    /// Returns the number of lines of the event.
    [[nodiscard]] std::size_t count(const std::string &event) const
    {
        std::size_t out = 0;
        for (const auto &it : lines_)
            out += it.find("\"event\":\"" + event + '"') == std::string::npos ? 0 : 1;
        return out;
    }

    [[nodiscard]] std::string text() const
    {
        std::string out;
        for (const auto &it : lines_)
            out += it + '\n';
        return out;
    }

private:
    void send(google::LogSeverity /*severity*/, const char * /*path*/, const char * /*file*/, int /*line*/,
              const google::LogMessageTime & /*time*/, const char *message, std::size_t length) override
    {
        lines_.emplace_back(message, length);
    }

    std::vector<std::string> lines_;
};

} // namespace testing
