// Notices that the settings file has changed, with or without a signal.

#pragma once

#include "inner/timer.h"
#include "proxy/proxy_settings.h"

#include <functional>
#include <string>

struct event_base;

namespace baobabport::proxy {

/**
 * Looks at the file at an interval and hands on settings that differ from the last ones.
 *
 * A file that cannot be read or holds wrong settings changes nothing and is reported once.
 */
class settings_watch
{
public:
    using changed_hook = std::function<void(const proxy_settings &)>;

    /// A change is noticed well within the bound for desired states, 3 s on the known sites.
    static constexpr std::chrono::milliseconds interval{500};

    settings_watch(event_base *base, std::string path, changed_hook changed);

    /// Looks now, as after a signal.
    void poll();

private:
    std::string path_;
    changed_hook changed_;
    std::string last_text_;
    inner::timer timer_;
};

} // namespace baobabport::proxy
