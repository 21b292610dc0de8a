#include "directory/desired_state_check.h"

#include "workspace/key_index.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace baobabport::directory {

namespace {

using std::chrono::milliseconds;

std::string at(const char *list, std::size_t index, const char *field)
{
    return std::string(list) + '[' + std::to_string(index) + "]." + field;
}

std::string text_of(double number)
{
    std::ostringstream out;
    out << number;
    return out.str();
}

std::string text_of(milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

class checker
{
public:
    checker(const desired_state &state, const check_assumptions &assumed) : state_(state), assumed_(assumed)
    {
    }

    std::vector<finding> run()
    {
        check_routes();
        check_services();
        check_workspaces();
        for (const auto &it : state_.routes) {
            if (state_.transaction_idle >= it.statement_timeout)
                continue;
            warn("limits.tx_idle_ms", "is " + text_of(state_.transaction_idle) + ", below the time-out of " +
                                          text_of(it.statement_timeout) + " of route " + it.name +
                                          ": a transaction may end while its caller repeats a statement");
            break;
        }
        return std::move(findings_);
    }

private:
    void warn(std::string path, std::string text)
    {
        findings_.push_back({finding_level::warning, std::move(path), std::move(text)});
    }

    void check_routes()
    {
        std::map<std::string, std::string> first_routes; // name of the first route by database
        for (std::size_t n = 0; n < state_.routes.size(); ++n) {
            const auto &it = state_.routes[n];
            const auto [first, is_first] = first_routes.try_emplace(it.database, it.name);
            if (!is_first)
                warn(at("routes", n, "database"), "database " + it.database + " has the route " +
                                                      first->second +
                                                      " already, so that this one never matches");
            const bool listed = std::any_of(state_.services.begin(), state_.services.end(),
                                            [&](const auto &service) { return service.name == it.service; });
            if (!listed)
                warn(at("routes", n, "backend"), "service " + it.service + " is not in the list of backends");
            if (it.statement_timeout < it.target_latency)
                warn(at("routes", n, "timeout_ms"), "is " + text_of(it.statement_timeout) +
                                                        ", below the target latency of " +
                                                        text_of(it.target_latency));
            if (it.kind == route_kind::primary && it.max_staleness.count() > 0)
                warn(at("routes", n, "max_staleness_ms"), "has no effect on a route to the primary");
            if (it.is_public && !state_.workspaces)
                warn(at("routes", n, "public"), "has no effect without tenants: no caller needs a key");
        }
    }

    void check_services()
    {
        const auto workspaces = state_.workspaces ? state_.workspaces->size() : 0;
        for (std::size_t n = 0; n < state_.services.size(); ++n) {
            const auto &it = state_.services[n];
            const bool used = std::any_of(state_.routes.begin(), state_.routes.end(),
                                          [&](const auto &route) { return route.service == it.name; });
            if (!used)
                warn(at("backends", n, "name"), "no route leads to service " + it.name);
            const bool repeated =
                std::any_of(state_.services.begin(), state_.services.begin() + static_cast<std::ptrdiff_t>(n),
                            [&](const auto &other) { return other.name == it.name; });
            if (repeated)
                warn(at("backends", n, "name"), "service " + it.name + " is listed already");
            if (it.max_connections == 0)
                warn(at("backends", n, "max_connections"), "is 0, so that no statement can run");
            else if (workspaces > it.max_connections)
                warn(at("backends", n, "max_connections"),
                     "is " + std::to_string(it.max_connections) + " for " + std::to_string(workspaces) +
                         " workspaces: each connection belongs to one, so that they displace each other");
        }
    }

    void check_workspaces()
    {
        if (!state_.workspaces)
            return;
        if (state_.workspaces->empty())
            warn("tenants", "is empty: callers are served on public routes only");
        double connections = 0;
        for (const auto &it : state_.services)
            connections += it.max_connections;
        for (std::size_t n = 0; n < state_.workspaces->size(); ++n) {
            const auto &it = (*state_.workspaces)[n];
            if (it.key_hashes.empty())
                warn(at("tenants", n, "api_keys"), "workspace " + it.name + " has no key");
            if (!it.limit)
                continue;
            const auto &[rate, burst] = *it.limit;
            if (rate == 0)
                warn(at("tenants", n, "rate_per_s"), burst == 0 ? "is 0: the workspace is never served"
                                                                : "is 0: the burst is never restored");
            else if (burst == 0)
                warn(at("tenants", n, "burst"), "is 0 with a rate of " + text_of(rate) +
                                                    ": operations that arrive together are refused");
            check_capacity(n, rate, "connections of all services", connections);
            if (assumed_.slots)
                check_capacity(n, rate, "slots of all instances", *assumed_.slots);
        }
    }

    void check_capacity(std::size_t workspace, double rate, const std::string &what, double count)
    {
        if (rate > count * max_operations_per_s)
            warn(at("tenants", workspace, "rate_per_s"),
                 "is " + text_of(rate) + ", above the " + text_of(count * max_operations_per_s) +
                     " operations per second that " + text_of(count) + ' ' + what + " can run at most");
    }

    const desired_state &state_;
    const check_assumptions &assumed_;
    std::vector<finding> findings_;
};

/// Appends `name from -> to` if the texts differ.
void note(std::string &out, const std::string &name, const std::string &from, const std::string &to)
{
    if (from != to)
        out += (out.empty() ? "" : ", ") + name + ' ' + from + " -> " + to;
}

std::string kind_text(route_kind kind)
{
    if (kind == route_kind::primary)
        return "primary";
    return kind == route_kind::bounded ? "bounded" : "read_your_writes";
}

std::string difference(const route &from, const route &to)
{
    std::string out;
    note(out, "name", from.name, to.name);
    note(out, "backend", from.service, to.service);
    note(out, "type", kind_text(from.kind), kind_text(to.kind));
    note(out, "timeout_ms", text_of(from.statement_timeout), text_of(to.statement_timeout));
    note(out, "target_latency_ms", text_of(from.target_latency), text_of(to.target_latency));
    note(out, "max_staleness_ms", text_of(from.max_staleness), text_of(to.max_staleness));
    note(out, "priority", std::to_string(from.priority), std::to_string(to.priority));
    note(out, "public", from.is_public ? "yes" : "no", to.is_public ? "yes" : "no");
    return out;
}

std::string difference(const service &from, const service &to)
{
    std::string out;
    note(out, "max_connections", std::to_string(from.max_connections), std::to_string(to.max_connections));
    note(out, "sync_replicas", std::to_string(from.sync_replicas), std::to_string(to.sync_replicas));
    return out;
}

std::string quota_text(const workspace &of, double quota::*field)
{
    return of.limit ? text_of((*of.limit).*field) : "none";
}

/// Appends the number and the short hashes of the keys that only the first workspace has.
void note_keys(std::string &out, const workspace &has, const workspace &lacks, const char *what)
{
    std::size_t count = 0;
    std::string hashes;
    for (const auto &it : has.key_hashes) {
        if (std::count(lacks.key_hashes.begin(), lacks.key_hashes.end(), it) > 0)
            continue;
        ++count;
        hashes += ' ' + ::baobabport::workspace::short_hash(it);
    }
    if (count > 0)
        out += (out.empty() ? "" : ", ") + std::to_string(count) + " keys " + what + ':' + hashes;
}

std::string difference(const workspace &from, const workspace &to)
{
    std::string out;
    note(out, "rate_per_s", quota_text(from, &quota::rate_per_s), quota_text(to, &quota::rate_per_s));
    note(out, "burst", quota_text(from, &quota::burst), quota_text(to, &quota::burst));
    note_keys(out, to, from, "added");
    note_keys(out, from, to, "removed");
    return out;
}

/// Compares two lists whose entries are identified by a name; the first entry of a name counts.
template <typename Entry>
void compare(const char *what, const std::vector<Entry> &to, const std::vector<Entry> &from,
             std::string Entry::*name, std::vector<state_change> &out)
{
    std::map<std::string, const Entry *> before;
    for (const auto &it : from)
        before.try_emplace(it.*name, &it);
    std::map<std::string, const Entry *> after;
    for (const auto &it : to) {
        if (!after.try_emplace(it.*name, &it).second)
            continue;
        const auto earlier = before.find(it.*name);
        if (earlier == before.end())
            out.push_back({change_kind::added, what, it.*name, ""});
        else if (const auto detail = difference(*earlier->second, it); !detail.empty())
            out.push_back({change_kind::changed, what, it.*name, detail});
    }
    for (const auto &it : before) {
        if (!after.contains(it.first))
            out.push_back({change_kind::removed, what, it.first, ""});
    }
}

} // namespace

std::vector<finding> check_desired_state(const desired_state &state, const check_assumptions &assumed)
{
    return checker(state, assumed).run();
}

std::optional<finding> check_version(const desired_state &state, const desired_state &in_force)
{
    if (state.version > in_force.version)
        return std::nullopt;
    return finding{finding_level::error, "version",
                   "is " + std::to_string(state.version) + ", not above " + std::to_string(in_force.version) +
                       " in force: processes ignore the state"};
}

std::vector<state_change> compare_states(const desired_state &state, const desired_state &in_force)
{
    std::vector<state_change> out;
    compare("route", state.routes, in_force.routes, &route::database, out);
    compare("service", state.services, in_force.services, &service::name, out);
    if (state.workspaces && !in_force.workspaces)
        out.push_back({change_kind::added, "limit", "tenants", "callers need keys from now on"});
    if (!state.workspaces && in_force.workspaces)
        out.push_back({change_kind::removed, "limit", "tenants", "callers need no keys any more"});
    compare("workspace", state.workspaces.value_or(std::vector<workspace>{}),
            in_force.workspaces.value_or(std::vector<workspace>{}), &workspace::name, out);
    if (state.transaction_idle != in_force.transaction_idle)
        out.push_back({change_kind::changed, "limit", "tx_idle_ms",
                       text_of(in_force.transaction_idle) + " -> " + text_of(state.transaction_idle)});
    return out;
}

} // namespace baobabport::directory
