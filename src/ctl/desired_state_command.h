// The operator's command that checks a desired state before it is stored.

#pragma once

#include "ctl/exit_status.h"
#include "directory/desired_state_check.h"

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::ctl {

struct check_options
{
    std::string file;
    std::string against; ///< file with the state in force; empty: none
    directory::check_assumptions assumed;
    bool as_json = false;
};

/**
 * Reads files with the reader of the processes and shows what it, the checks and the comparison find. Keys
 * are not shown, only their number and the first digits of their hashes.
 */
class desired_state_command
{
public:
    desired_state_command(std::ostream &out, std::ostream &err) : out_(out), err_(err) {}

    /// Returns `exit_done`, `exit_doubtful` with warnings, `exit_refused` with errors, or `exit_usage` if a
    /// file cannot be read, or the one in force is invalid.
    int check(const check_options &options);

private:
    std::optional<std::string> read(const std::string &file);
    void print(const std::string &file, const nlohmann::json &report);

    std::ostream &out_;
    std::ostream &err_;
};

/**
 * Returns the path and, as the text of the finding, the reason for which the reader refuses the value.
 */
[[nodiscard]] directory::finding locate_refusal(const std::string &value, const std::string &reason);

} // namespace baobabport::ctl
