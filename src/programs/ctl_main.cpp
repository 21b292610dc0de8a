// The `baobabport-ctl` program, the operators' command line.

#include "ctl/desired_state_command.h"
#include "ctl/document_commands.h"
#include "ctl/fleet_commands.h"
#include "programs/program_main.h"

#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>

namespace {

constexpr const char *usage = R"(Changes and shows documents, shows and stops processes.

Usage:
  baobabport-ctl check FILE
  baobabport-ctl check-desired-state FILE [--against FILE] [--slots N] [--json]
  baobabport-ctl show DATABASE --settings FILE
  baobabport-ctl diff DATABASE DOCUMENT --settings FILE
  baobabport-ctl apply DATABASE DOCUMENT --settings FILE [--expect-revision N] [--note TEXT]
  baobabport-ctl history DATABASE --settings FILE
  baobabport-ctl status --settings FILE [--json]
  baobabport-ctl state PROCESS --settings FILE
  baobabport-ctl drain PROCESS --settings FILE
  baobabport-ctl (-h | --help | --version)

Options:
  --settings FILE      Settings of any process, which list the store and the other processes.
  --expect-revision N  Change nothing unless the store has this revision.
  --note TEXT          Reason for the change, for the history [default: ].
  --against FILE       The desired state in force, to show what the other one changes.
  --slots N            Slots of all instances together, to check quotas against.
  --json               Show the result as JSON.
  --version            Show the version.
  -h --help            Show this text.

Exit status: 0 done, 1 refused and nothing changed, 2 bad usage or settings, 3 the store did not
answer and nothing was accepted, 4 the outcome of a change is unknown, 5 some processes did not answer,
6 valid with warnings.
)";

using arguments = std::map<std::string, docopt::value>;

baobabport::ctl::apply_options apply_options_of(arguments &args)
{
    baobabport::ctl::apply_options out;
    out.database = args["DATABASE"].asString();
    out.file = args["DOCUMENT"].asString();
    const char *const user = std::getenv("USER");
    out.by = user ? user : "unknown";
    if (args["--note"].isString())
        out.note = args["--note"].asString();
    if (args["--expect-revision"])
        out.expected_revision = static_cast<std::uint64_t>(args["--expect-revision"].asLong());
    return out;
}

int check_desired_state(arguments &args)
{
    using namespace baobabport;
    ctl::check_options options;
    options.file = args["FILE"].asString();
    if (args["--against"].isString())
        options.against = args["--against"].asString();
    if (args["--slots"])
        options.assumed.slots = static_cast<std::uint32_t>(args["--slots"].asLong());
    options.as_json = args["--json"].asBool();
    return ctl::desired_state_command(std::cout, std::cerr).check(options);
}

} // namespace

int main(int argc, char **argv)
{
    using namespace baobabport;
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true, "baobabport-ctl " BAOBABPORT_VERSION);
    if (args["check-desired-state"].asBool())
        return check_desired_state(args);
    settings::process_settings settings;
    if (args["check"].asBool())
        return ctl::document_commands(settings, std::cout, std::cerr).check(args["FILE"].asString());
    auto loaded = programs::load_settings(settings::program_kind::tool, args["--settings"].asString());
    if (!loaded)
        return programs::exit_bad_usage;
    ctl::fleet_commands fleet(*loaded, std::cout, std::cerr);
    if (args["status"].asBool())
        return fleet.status(args["--json"].asBool());
    if (args["state"].asBool())
        return fleet.state(args["PROCESS"].asString());
    if (args["drain"].asBool())
        return fleet.drain(args["PROCESS"].asString());
    ctl::document_commands commands(*loaded, std::cout, std::cerr);
    const auto database = args["DATABASE"].isString() ? args["DATABASE"].asString() : std::string();
    if (args["show"].asBool())
        return commands.show(database);
    if (args["diff"].asBool())
        return commands.diff(database, args["DOCUMENT"].asString());
    if (args["history"].asBool())
        return commands.history(database);
    return commands.apply(apply_options_of(args));
}
