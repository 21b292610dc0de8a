// The `baobabport-pooler` program.

#include "pooler/pooler_task.h"
#include "programs/program_main.h"

namespace {

constexpr const char *usage = R"(Runs the homes of databases.

Usage:
  baobabport-pooler --settings FILE [--check]
  baobabport-pooler (-h | --help | --version)

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
    const programs::program_text text{settings::program_kind::pooler, usage,
                                      "baobabport-pooler " BAOBABPORT_VERSION};
    return programs::run_program<pooler::pooler_task>(text, argc, argv);
}
