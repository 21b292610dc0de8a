#include "programs/program_main.h"

#include <csignal>
#include <event2/event.h>
#include <iostream>

namespace baobabport::programs {

namespace {

struct signal_context
{
    event_base *base = nullptr;
    const std::function<void()> *drain = nullptr;
    bool stop_requested = false;
};

void on_signal(int /*signal*/, short /*what*/, void *arg)
{
    auto *const context = static_cast<signal_context *>(arg);
    if (context->stop_requested)
        event_base_loopbreak(context->base);
    context->stop_requested = true;
    (*context->drain)();
}

void on_hangup(int /*signal*/, short /*what*/, void *arg)
{
    const auto &reload = *static_cast<const std::function<void()> *>(arg);
    if (reload)
        reload();
}

} // namespace

std::optional<settings::process_settings> load_settings(settings::program_kind program,
                                                        const std::string &path)
{
    settings::settings_reader reader(program);
    auto out = reader.read_file(path);
    if (!out)
        std::cerr << reader.last_reason() << '\n';
    return out;
}

void run_until_stopped(event_base *base, const std::function<void()> &drain,
                       const std::function<void()> &reload)
{
    std::signal(SIGPIPE, SIG_IGN);
    signal_context context{base, &drain, false};
    auto *const term = evsignal_new(base, SIGTERM, on_signal, &context);
    auto *const interrupt = evsignal_new(base, SIGINT, on_signal, &context);
    event_add(term, nullptr);
    event_add(interrupt, nullptr);
    auto *const hangup = evsignal_new(base, SIGHUP, on_hangup, const_cast<std::function<void()> *>(&reload));
    event_add(hangup, nullptr);
    event_base_dispatch(base);
    event_free(hangup);
    event_free(term);
    event_free(interrupt);
}

} // namespace baobabport::programs
