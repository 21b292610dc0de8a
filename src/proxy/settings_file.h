// Reads the proxy's settings file, JSON with comments.

#pragma once

#include "proxy/proxy_settings.h"

#include <optional>
#include <string>

namespace baobabport::proxy {

/**
 * Returns the settings in the text, or none and the reason.
 *
 * Addresses and numbers may be empty texts where they are optional: the VM's template leaves out what the
 * VM does not have.
 */
std::optional<proxy_settings> read_proxy_settings(const std::string &text, std::string &reason);

/**
 * Returns the settings in the file, or none and the reason with the file's name.
 */
std::optional<proxy_settings> load_proxy_settings(const std::string &path, std::string &reason);

} // namespace baobabport::proxy
