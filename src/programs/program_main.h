// What the long-running programs' mains have in common.

#pragma once

#include "settings/settings_reader.h"

#include <functional>
#include <optional>
#include <string>

struct event_base;

namespace baobabport::programs {

inline constexpr int exit_bad_usage = 2;

/**
 * Returns the settings of `--settings FILE`, or none after a line on standard error.
 */
std::optional<settings::process_settings> load_settings(settings::program_kind program,
                                                        const std::string &path);

/**
 * Runs the loop; SIGTERM and SIGINT call `drain`, a second one ends at once.
 */
void run_until_stopped(event_base *base, const std::function<void()> &drain);

} // namespace baobabport::programs
