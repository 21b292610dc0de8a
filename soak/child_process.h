// A child process of the soak.

#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace soak {

/**
 * Starts a program and signals it by its process id. The destructor kills the process if it still runs.
 */
class child_process
{
public:
    /// Starts the program and appends its output to the file; throws `std::runtime_error` if it cannot start.
    child_process(const std::vector<std::string> &command, const std::string &output);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void send(int signal) const;

    [[nodiscard]] pid_t id() const { return id_; }

    /// Returns true while the process runs or is suspended.
    [[nodiscard]] bool alive();

    /// Returns how the process terminated, as text for reports.
    [[nodiscard]] std::string end() const;

    /// Returns true if the process has exited with status 0.
    [[nodiscard]] bool exited_successfully() const;

private:
    pid_t id_ = 0;
    std::optional<int> status_;
};

} // namespace soak
