// Reads the settings of a process and validates every field.

#pragma once

#include "settings/process_settings.h"

#include <optional>
#include <string>

namespace baobabport::settings {

enum class program_kind : std::uint8_t
{
    entry,
    pooler,
    tool
};

/**
 * Reads settings from JSON with comments.
 *
 * A text with an error yields no settings at all.
 */
class settings_reader
{
public:
    explicit settings_reader(program_kind program) : program_(program) {}

    /**
     * Returns the settings in the text; on an error returns none and sets `last_reason`.
     */
    std::optional<process_settings> read(const std::string &text);

    /**
     * Returns the settings in the file; on an error returns none and sets `last_reason`, with the file's
     * path.
     */
    std::optional<process_settings> read_file(const std::string &path);

    [[nodiscard]] const std::string &last_reason() const { return last_reason_; }

private:
    program_kind program_;
    std::string last_reason_;
};

/**
 * Returns the contents of the file, or none if it cannot be read.
 */
std::optional<std::string> read_text_file(const std::string &path);

} // namespace baobabport::settings
