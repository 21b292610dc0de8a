#include "ctl/fleet_report.h"

#include <algorithm>
#include <initializer_list>
#include <nlohmann/json.hpp>

namespace baobabport::ctl {

using nlohmann::json;

namespace {

void add_problem(json &problems, std::initializer_list<std::string> parts)
{
    std::string text;
    for (const auto &it : parts)
        text += it;
    problems.push_back(text);
}

void add_revisions(const json &state, json &databases)
{
    const auto name = state.value("process", "?");
    const auto documents = state.value("documents", json::object());
    for (const auto &[database, it] : documents.items())
        databases[database]["revisions"][name] = it.value("revision", 0);
    const auto seen = state.value("databases", json::object());
    for (const auto &[database, it] : seen.items()) {
        const auto revision = it.value("document_revision", 0);
        if (revision > 0)
            databases[database]["revisions"][name] = revision;
    }
}

std::string primary_of(const json &home)
{
    for (const auto &it : home.at("instances")) {
        if (it.value("primary", false))
            return it.value("name", "");
    }
    return {};
}

void add_home(const json &state, const json &home, json &databases, json &problems)
{
    const auto database = home.value("database", "?");
    const auto process = state.value("process", "?");
    const auto primary = primary_of(home);
    databases[database]["homes"].push_back({{"process", process},
                                            {"primary", primary},
                                            {"term", home.value("term", 0)},
                                            {"queue", home.value("queue_length", 0)},
                                            {"held", home.value("held_answers", 0)}});
    if (primary.empty())
        problems.push_back(database + ": no primary known at " + process + "; see failover.md");
    for (const auto &it : home.at("instances")) {
        if (!it.value("healthy", true))
            add_problem(problems,
                        {database, ": instance ", it.value("name", ""), " does not answer ", process});
    }
}

void add_outdated_revisions(const json &databases, json &problems)
{
    for (const auto &[database, it] : databases.items()) {
        const auto revisions = it.value("revisions", json::object());
        std::uint64_t highest = 0;
        for (const auto &[process, revision] : revisions.items())
            highest = std::max(highest, revision.get<std::uint64_t>());
        for (const auto &[process, revision] : revisions.items()) {
            if (revision.get<std::uint64_t>() < highest)
                add_problem(problems, {database, ": ", process, " has revision ", revision.dump(), " of ",
                                       std::to_string(highest)});
        }
    }
}

} // namespace

json make_fleet_report(const std::vector<json> &states, const std::vector<std::string> &unresponsive)
{
    json problems = json::array();
    json processes = json::object();
    json databases = json::object();
    for (const auto &it : unresponsive) {
        problems.push_back(it + ": does not answer");
        processes[it] = {{"answers", false}};
    }
    for (const auto &state : states) {
        const auto name = state.value("process", "?");
        const bool draining = state.value("draining", false);
        processes[name] = {{"answers", true}, {"draining", draining}};
        if (draining)
            problems.push_back(name + ": is stopping");
        if (!state.value("store", json::object()).value("healthy", true))
            problems.push_back(name + ": the platform's store does not answer it");
        add_revisions(state, databases);
        const auto homes = state.value("homes", json::array());
        for (const auto &home : homes)
            add_home(state, home, databases, problems);
    }
    add_outdated_revisions(databases, problems);
    return {{"problems", problems}, {"processes", processes}, {"databases", databases}};
}

} // namespace baobabport::ctl
