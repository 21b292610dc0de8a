// A process that the soak started, and only such a one.

#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace soak {

/**
 * Starts a program and ends it by its id. The destructor kills what still runs.
 */
class child_process
{
public:
    /// Starts the program with its output in the file, or throws `std::runtime_error`.
    child_process(const std::vector<std::string> &command, const std::string &output);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void send(int signal) const;

    /// Returns true while the process runs or is stopped.
    [[nodiscard]] bool alive();

    /// Returns how the process ended, for reports.
    [[nodiscard]] std::string end() const;

    /// Returns true if it ended by itself with status 0.
    [[nodiscard]] bool exited_successfully() const;

private:
    pid_t id_ = 0;
    std::optional<int> status_;
};

} // namespace soak
