// The `baobabport-load` program, which generates load for tests and experiments.

#include "http/blocking_client.h"
#include "load/load_task.h"
#include "settings/settings_reader.h"

#include <csignal>
#include <cstdio>
#include <docopt/docopt.h>
#include <event2/event.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

namespace {

using namespace baobabport;

constexpr const char *usage = R"(Sends a workload to running entries and checks every acknowledged write.

Usage:
  baobabport-load WORKLOAD --entry IP:PORT... [--group NAME=IP:PORT...] [--idle N] [--out FILE] [--quiet]
  baobabport-load (-h | --help | --version)

Options:
  --entry IP:PORT       Callers' address of an entry; requests go to all entries in turn.
  --group NAME=IP:PORT  Control address of a database's stand-in group, for faults and the log check.
  --idle N              Keep this many idle connections open to the first entry [default: 0].
  --out FILE            Write the results to this file as JSON.
  --quiet               Print neither progress nor results.
  --version             Show the version.
  -h --help             Show this text.

Exit status: 0 no guarantee was violated, 1 a guarantee was violated, 2 bad usage or workload.
)";

constexpr int exit_violation = 1;
constexpr int exit_usage = 2;
constexpr std::chrono::seconds progress_interval{2};
constexpr std::chrono::seconds log_timeout{10};

std::optional<load::group_endpoint> parse_group(const std::string &text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos)
        return std::nullopt;
    const auto at = support::parse_address(text.substr(equals + 1));
    if (!at)
        return std::nullopt;
    return load::group_endpoint{text.substr(0, equals), *at};
}

/// Opens connections and leaves them open. Returns false if a request on one of them was not answered.
bool open_idle(http::blocking_client &loop, const support::address &entry, long count,
               std::vector<std::unique_ptr<http::http_client>> &out)
{
    long answered = 0;
    long failed = 0;
    for (long n = 0; n < count; ++n) {
        auto &client = out.emplace_back(std::make_unique<http::http_client>(loop.loop(), entry));
        client->send({http::method_kind::get, "/health", {}, {}, log_timeout}, [&](const auto &answer) {
            ++(answer.failure == http::client_failure::none ? answered : failed);
        });
        while (answered + failed <= n)
            event_base_loop(loop.loop(), EVLOOP_ONCE);
    }
    return failed == 0;
}

void print_table(const nlohmann::json &report)
{
    std::printf("%-18s %8s %8s %8s %8s %9s %9s %9s %10s\n", "stream", "sent", "ran", "not_run", "unknown",
                "p50 ms", "p99 ms", "max ms", "replica %");
    for (const auto &[name, it] : report["streams"].items()) {
        const auto ran = it["ran"].get<double>();
        std::printf("%-18s %8zu %8zu %8zu %8zu %9.1f %9.1f %9.1f %10.1f\n", name.c_str(),
                    it["sent"].get<std::size_t>(), it["ran"].get<std::size_t>(),
                    it["not_run"].get<std::size_t>(), it["unknown"].get<std::size_t>(),
                    it["p50_ms"].get<double>(), it["p99_ms"].get<double>(), it["max_ms"].get<double>(),
                    ran > 0 ? 100.0 * it["by_replica"].get<double>() / ran : 0.0);
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true, "baobabport-load " BAOBABPORT_VERSION);
    const auto file = args["WORKLOAD"].asString();
    const auto text = settings::read_text_file(file);
    load::workload_reader reader;
    auto plan = text ? reader.read(*text) : std::nullopt;
    if (!plan) {
        std::cerr << file << ": " << (text ? reader.last_reason() : "cannot be read") << '\n';
        return exit_usage;
    }
    std::vector<support::address> entries;
    for (const auto &it : args["--entry"].asStringList()) {
        const auto at = support::parse_address(it);
        if (!at) {
            std::cerr << "--entry: found " << it << ", allowed: IP:PORT\n";
            return exit_usage;
        }
        entries.push_back(*at);
    }
    std::vector<load::group_endpoint> groups;
    for (const auto &it : args["--group"].asStringList()) {
        const auto group = parse_group(it);
        if (!group) {
            std::cerr << "--group: found " << it << ", allowed: NAME=IP:PORT\n";
            return exit_usage;
        }
        groups.push_back(*group);
    }
    http::blocking_client idle_client;
    std::vector<std::unique_ptr<http::http_client>> idle;
    const bool opened = open_idle(idle_client, entries.front(), args["--idle"].asLong(), idle);
    if (!opened) {
        std::cerr << "--idle: the entry did not accept all connections\n";
        return exit_usage;
    }
    const bool quiet = args["--quiet"].asBool();
    http::blocking_client client;
    bool finished = false;
    load::load_task task(client.loop(), *plan, entries, groups, [&] {
        finished = true;
        event_base_loopbreak(client.loop());
    });
    inner::timer progress(client.loop(), [&] {
        if (!quiet)
            print_table(task.report());
    });
    progress.repeat(progress_interval);
    while (!finished)
        event_base_loop(client.loop(), EVLOOP_ONCE);
    progress.stop();
    for (const auto &it : groups) {
        const auto answer = client.call(it.control, {http::method_kind::get, "/log", {}, {}, log_timeout});
        task.check_log(it.database, nlohmann::json::parse(answer.body, nullptr, false));
    }
    const auto report = task.report();
    if (!quiet)
        print_table(report);
    if (args["--out"].isString())
        std::ofstream(args["--out"].asString()) << report.dump(2) << '\n';
    if (groups.empty() || task.no_violations())
        return 0;
    for (const auto &it : report["breaches"])
        std::cerr << "BROKEN: " << it.get<std::string>() << '\n';
    return exit_violation;
}
