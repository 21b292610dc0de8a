#include "proxy/settings_watch.h"

#include "proxy/settings_file.h"
#include "support/json_log.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace baobabport::proxy {

namespace {

/// Returns the file's text, or an empty one if it cannot be read. Changes are detected by comparing texts,
/// since a file that is written twice in a short time may keep its modification time and size.
std::string text_of(const std::string &path)
{
    const std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

settings_watch::settings_watch(event_base *base, std::string path, changed_hook changed)
    : path_(std::move(path)), changed_(std::move(changed)), last_text_(text_of(path_)),
      timer_(base, [this] { poll(); })
{
    timer_.repeat(interval);
}

void settings_watch::poll()
{
    auto text = text_of(path_);
    if (text == last_text_)
        return;
    last_text_ = std::move(text);
    std::string reason;
    if (const auto settings = read_proxy_settings(last_text_, reason))
        changed_(*settings);
    else
        support::log_warning("settings_refused", {{"path", path_}, {"reason", reason}});
}

} // namespace baobabport::proxy
