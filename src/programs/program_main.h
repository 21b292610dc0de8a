// The start, settings and signal handling that the long-running programs share.

#pragma once

#include "settings/settings_reader.h"
#include "support/json_log.h"

#include <docopt/docopt.h>
#include <event2/event.h>
#include <functional>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <string>

namespace baobabport::programs {

inline constexpr int exit_cannot_start = 1;
inline constexpr int exit_bad_usage = 2;

/**
 * Returns the settings of `--settings FILE`, or none after writing the reason to standard error.
 */
std::optional<settings::process_settings> load_settings(settings::program_kind program,
                                                        const std::string &path);

/**
 * Runs the event loop. SIGTERM and SIGINT call `drain`; a second one also ends the loop at once. SIGHUP calls
 * `reload`.
 */
void run_until_stopped(event_base *base, const std::function<void()> &drain,
                       const std::function<void()> &reload = {});

/// The texts of a program.
struct program_text
{
    settings::program_kind program;
    const char *usage;
    const char *version;
};

/**
 * Runs a program that consists of one task. Returns its exit status.
 */
template <typename Task>
int run_program(const program_text &text, int argc, char **argv)
{
    auto args = docopt::docopt(text.usage, {argv + 1, argv + argc}, true, text.version);
    auto settings = load_settings(text.program, args["--settings"].asString());
    if (!settings)
        return exit_bad_usage;
    if (args["--check"].asBool()) {
        std::cout << "settings are valid\n";
        return 0;
    }
    support::start_json_log(settings->process);
    auto *const base = event_base_new();
    try {
        Task task(base, std::move(*settings), [base] { event_base_loopbreak(base); });
        run_until_stopped(base, [&task] { task.drain(); });
    } catch (const std::runtime_error &ec) {
        support::log_warning("cannot_start", {{"reason", ec.what()}});
        return exit_cannot_start;
    }
    return 0;
}

} // namespace baobabport::programs
