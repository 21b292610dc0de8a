// The `baobabport-entry` program.

#include "entry/entry_task.h"
#include "programs/program_main.h"
#include "support/json_log.h"

#include <docopt/docopt.h>
#include <event2/event.h>
#include <iostream>

namespace {

constexpr const char *usage = R"(Faces callers and forwards their statements to the homes.

Usage:
  baobabport-entry --settings FILE [--check]
  baobabport-entry (-h | --help | --version)

Options:
  --settings FILE  Settings, JSON with comments.
  --check          Check the settings and exit.
  --version        Show the version.
  -h --help        Show this text.

Exit status: 0 stopped as planned, 1 could not start, 2 bad usage or settings.
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace baobabport;
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true, "baobabport-entry " BAOBABPORT_VERSION);
    auto settings = programs::load_settings(settings::program_kind::entry, args["--settings"].asString());
    if (!settings)
        return programs::exit_bad_usage;
    if (args["--check"].asBool()) {
        std::cout << "settings are right\n";
        return 0;
    }
    support::start_json_log(settings->process);
    auto *const base = event_base_new();
    try {
        entry::entry_task task(base, std::move(*settings), [base] { event_base_loopbreak(base); });
        programs::run_until_stopped(base, [&task] { task.drain(); });
    } catch (const std::runtime_error &ec) {
        support::log_warning("cannot_start", {{"reason", ec.what()}});
        return 1;
    }
    return 0;
}
