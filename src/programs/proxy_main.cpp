// The `baobabport-proxy` program.

#include "programs/program_main.h"
#include "proxy/proxy_task.h"
#include "proxy/settings_file.h"
#include "proxy/settings_watch.h"

#include <csignal>
#include <cstdlib>

namespace {

constexpr const char *usage = R"(Serves sessions of the line protocol in front of the instances.

Usage:
  baobabport-proxy [--settings FILE] [--check]
  baobabport-proxy (-h | --help | --version)

Options:
  --settings FILE  Settings, JSON with comments; without it, the file that the environment variable
                   BAOBABPORT_SETTINGS names.
  --check          Check the settings and exit.
  --version        Show the version.
  -h --help        Show this text.

Signals: SIGTERM begins a planned stop. Changed settings are detected within half a second, or at SIGHUP.

Exit status: 0 stopped as planned, 1 could not start, 2 bad usage or settings.
)";

std::string settings_path(const docopt::value &option)
{
    if (option.isString())
        return option.asString();
    const char *const path = std::getenv("BAOBABPORT_SETTINGS");
    return path ? path : "";
}

} // namespace

int main(int argc, char **argv)
{
    using namespace baobabport;
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true, "baobabport-proxy " BAOBABPORT_VERSION);
    const auto path = settings_path(args["--settings"]);
    std::string reason;
    auto settings = proxy::load_proxy_settings(path, reason);
    if (!settings) {
        std::cerr << reason << '\n';
        return programs::exit_bad_usage;
    }
    if (args["--check"].asBool()) {
        std::cout << "settings are valid\n";
        return 0;
    }
    support::start_json_log(settings->process);
    auto *const base = event_base_new();
    try {
        proxy::proxy_task task(base, std::move(*settings), [base] { event_base_loopbreak(base); });
        proxy::settings_watch watch(base, path,
                                    [&task](const auto &new_settings) { task.reload(new_settings); });
        programs::run_until_stopped(
            base, [&task] { task.drain(); }, [&watch] { watch.poll(); });
    } catch (const std::runtime_error &ec) {
        support::log_warning("cannot_start", {{"reason", ec.what()}});
        return programs::exit_cannot_start;
    }
    return 0;
}
