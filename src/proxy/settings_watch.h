// Detects changes of the settings file, with or without a signal.

#pragma once

#include "inner/timer.h"
#include "proxy/proxy_settings.h"

#include <functional>
#include <string>

struct event_base;

namespace baobabport::proxy {

/**
 * Reads the file at an interval and passes on its settings when the text has changed.
 *
 * A file that cannot be read or has invalid settings changes nothing and is logged once.
 */
class settings_watch
{
public:
    using changed_hook = std::function<void(const proxy_settings &)>;

    /// A change is detected well within the bound for desired states, which is 3 s on the known sites.
    static constexpr std::chrono::milliseconds interval{500};

    settings_watch(event_base *base, std::string path, changed_hook changed);

    /// Reads the file now, for example after a signal.
    void poll();

private:
    std::string path_;
    changed_hook changed_;
    std::string last_text_;
    inner::timer timer_;
};

} // namespace baobabport::proxy
