// The operator's commands on processes: status, state and drain.

#pragma once

#include "ctl/exit_status.h"
#include "http/blocking_client.h"
#include "settings/process_settings.h"

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace baobabport::ctl {

/**
 * Sends commands to the operators' addresses of the processes that the settings list.
 */
class fleet_commands
{
public:
    fleet_commands(const settings::process_settings &settings, std::ostream &out, std::ostream &err);

    /// Shows the state of all processes and databases, problems first.
    int status(bool as_json);

    /// Shows the complete state of one process.
    int state(const std::string &process);

    /// Begins a planned stop of one process.
    int drain(const std::string &process);

private:
    [[nodiscard]] const settings::process_config *find(const std::string &process);
    nlohmann::json fetch_state(const settings::process_config &process);
    void print(const nlohmann::json &report);

    const settings::process_settings &settings_;
    std::ostream &out_;
    std::ostream &err_;
    http::blocking_client client_;
};

} // namespace baobabport::ctl
