// Reads the proxy's settings file, JSON with comments.

#pragma once

#include "proxy/proxy_settings.h"

#include <optional>
#include <string>

namespace baobabport::proxy {

/**
 * Returns the settings in the text, or none and the reason.
 *
 * Optional addresses and numbers may be empty strings: the settings template writes them for values that the
 * VM does not define.
 */
std::optional<proxy_settings> read_proxy_settings(const std::string &text, std::string &reason);

/**
 * Returns the settings in the file, or none and the reason with the file's name.
 */
std::optional<proxy_settings> load_proxy_settings(const std::string &path, std::string &reason);

} // namespace baobabport::proxy
