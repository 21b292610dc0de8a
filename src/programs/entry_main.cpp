// The `baobabport-entry` program.

#include "entry/entry_task.h"
#include "programs/program_main.h"

namespace {

constexpr const char *usage = R"(Accepts callers' requests and forwards their statements to the homes.

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
    const programs::program_text text{settings::program_kind::entry, usage,
                                      "baobabport-entry " BAOBABPORT_VERSION};
    return programs::run_program<entry::entry_task>(text, argc, argv);
}
