// The soak program: runs seeds of random faults against real proxy processes.

#include "soak_site.h"

#include <csignal>
#include <docopt/docopt.h>
#include <filesystem>
#include <iostream>

namespace {

constexpr const char *usage =
    R"(Runs random faults against real proxy processes and checks the answers that callers receive.

Usage:
  baobabport-soak --program FILE [--folder DIR] [--first N] [--seeds N] [--processes N] [--callers N] [--seconds N] [--quotas] [--verbose]
  baobabport-soak (-h | --help)

Options:
  --program FILE  The proxy to run.
  --folder DIR    For settings and logs; those of a seed without a violation are removed [default: build/soak].
  --first N       The first seed [default: 1].
  --seeds N       Number of seeds [default: 1].
  --processes N   Proxy processes in each seed [default: 4].
  --callers N     Callers, with one session each at a time [default: 12].
  --seconds N     Time with faults in each seed [default: 12].
  --quotas        Check the workspaces' quotas.
  --verbose       Print the events of every seed, not only of those with violations.
  -h --help       Show this text.

Exit status: 0 no violation, 1 violations found, 2 bad usage or a seed that could not run.
)";

/// Runs a seed, prints its results and returns true if there were violations.
bool run_seed(const soak::soak_options &options, bool verbose)
{
    std::filesystem::remove_all(options.folder);
    soak::soak_site site(options);
    const auto &violations = site.run();
    std::cout << "seed " << options.seed << ": " << site.write_ledger().acknowledged()
              << " writes acknowledged, " << site.write_ledger().reads() << " reads, "
              << site.statements_with_key() << " statements with keys, " << site.orders().orders()
              << " orders of " << site.orders().generations() << " generations, " << violations.size()
              << " broken" << std::endl;
    if (!violations.empty() || verbose) {
        for (const auto &it : site.events())
            std::cout << "  " << it << '\n';
    }
    return !violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto number = [&args](const char *name) { return std::stoul(args[name].asString()); };
    std::signal(SIGPIPE, SIG_IGN);
    for (const int it : {SIGTERM, SIGINT})
        std::signal(it, [](int) { soak::interrupted = true; });
    std::size_t failed_seeds = 0;
    const auto first = number("--first");
    const auto seeds = number("--seeds");
    for (auto seed = first; seed < first + seeds; ++seed) {
        soak::soak_options options;
        options.seed = seed;
        options.processes = number("--processes");
        options.callers = number("--callers");
        options.faults_for = std::chrono::seconds(number("--seconds"));
        options.quotas = args["--quotas"].asBool();
        options.program = std::filesystem::absolute(args["--program"].asString());
        options.folder = args["--folder"].asString() + "/seed-" + std::to_string(seed);
        try {
            const bool has_violations = run_seed(options, args["--verbose"].asBool());
            failed_seeds += has_violations ? 1 : 0;
            if (!has_violations)
                std::filesystem::remove_all(options.folder);
        } catch (const std::runtime_error &ec) {
            std::cerr << "seed " << seed << ": " << ec.what() << '\n';
            return 2;
        }
    }
    std::cout << "soak: " << failed_seeds << " of " << seeds << " seeds with violations" << std::endl;
    return failed_seeds == 0 ? 0 : 1;
}
