#include "ctl/fleet_commands.h"

#include "ctl/fleet_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

namespace baobabport::ctl {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds process_timeout{1000};

} // namespace

fleet_commands::fleet_commands(const settings::process_settings &settings, std::ostream &out,
                               std::ostream &err)
    : settings_(settings), out_(out), err_(err)
{
}

const settings::process_config *fleet_commands::find(const std::string &process)
{
    const auto it = std::find_if(settings_.processes.begin(), settings_.processes.end(),
                                 [&](const auto &config) { return config.name == process; });
    if (it != settings_.processes.end())
        return &*it;
    err_ << process << ": not among the processes in the settings\n";
    return nullptr;
}

json fleet_commands::fetch_state(const settings::process_config &process)
{
    const auto answer =
        client_.call(process.operators, {http::method_kind::get, "/state", {}, {}, process_timeout});
    if (answer.failure != http::client_failure::none || answer.status != 200)
        return {};
    return json::parse(answer.body, nullptr, false);
}

int fleet_commands::status(bool as_json)
{
    std::vector<json> states;
    std::vector<std::string> unresponsive;
    for (const auto &it : settings_.processes) {
        auto state = fetch_state(it);
        if (state.is_object())
            states.push_back(std::move(state));
        else
            unresponsive.push_back(it.name);
    }
    const auto report = make_fleet_report(states, unresponsive);
    if (as_json)
        out_ << report.dump(2) << '\n';
    else
        print(report);
    return unresponsive.empty() ? exit_done : exit_partial;
}

void fleet_commands::print(const json &report)
{
    for (const auto &it : report["problems"])
        out_ << "WRONG  " << it.get<std::string>() << '\n';
    for (const auto &[name, it] : report["databases"].items()) {
        out_ << name;
        for (const auto &home : it.value("homes", json::array()))
            out_ << "  home " << home["process"].get<std::string>() << " primary "
                 << home["primary"].get<std::string>() << " term " << home["term"] << " queue "
                 << home["queue"];
        out_ << "  revisions";
        const auto revisions = it.value("revisions", json::object());
        for (const auto &[process, revision] : revisions.items())
            out_ << ' ' << process << '=' << revision;
        out_ << '\n';
    }
    if (report["problems"].empty())
        out_ << "nothing wrong at " << report["processes"].size() << " processes\n";
}

int fleet_commands::state(const std::string &process)
{
    const auto *const config = find(process);
    if (!config)
        return exit_usage;
    const auto state = fetch_state(*config);
    if (!state.is_object()) {
        err_ << process << ": does not answer\n";
        return exit_partial;
    }
    out_ << state.dump(2) << '\n';
    return exit_done;
}

int fleet_commands::drain(const std::string &process)
{
    const auto *const config = find(process);
    if (!config)
        return exit_usage;
    const auto answer =
        client_.call(config->operators, {http::method_kind::post,
                                         "/drain",
                                         "{}",
                                         {{"Authorization", "Bearer " + settings_.keys.operators}},
                                         process_timeout});
    if (answer.failure != http::client_failure::none) {
        err_ << process << ": does not answer\n";
        return exit_partial;
    }
    if (answer.status != 200) {
        err_ << process << ": refused the operators' key\n";
        return exit_refused;
    }
    out_ << process << ": stopping; it exits once everything in progress has ended\n";
    return exit_done;
}

} // namespace baobabport::ctl
