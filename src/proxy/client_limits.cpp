// Bounds from the settings or the system, metrics and log lines.

#include "proxy/client_limits.h"

#include "support/boot_clock.h"
#include "support/json_log.h"

#include <algorithm>
#include <array>
#include <sys/resource.h>

namespace baobabport::proxy {

namespace {

std::uint64_t descriptor_limit(std::uint64_t max_fds)
{
    rlimit system{};
    if (getrlimit(RLIMIT_NOFILE, &system) != 0)
        return max_fds;
    return max_fds == 0 ? system.rlim_cur : std::min<std::uint64_t>(max_fds, system.rlim_cur);
}

constexpr std::array<limits::client_class, limits::client_classes> all_classes{
    limits::client_class::callers, limits::client_class::peers, limits::client_class::strangers,
    limits::client_class::operators};

} // namespace

client_limits::client_limits(std::uint64_t memory_mb, std::uint64_t max_fds, support::metrics &metrics)
    : metrics_(metrics), account_(std::make_shared<limits::memory_account>(limits::memory_bounds(memory_mb))),
      connections_(limits::connection_bounds(descriptor_limit(max_fds)))
{
}

void client_limits::record(limits::client_class of, const char *reason)
{
    const std::string class_name = limits::to_string(of);
    metrics_.count("baobabport_client_limits_total",
                   support::label("class", class_name) + ',' + support::label("reason", reason));
    if (const auto count = log_.record(class_name + '/' + reason, support::boot_clock::now()))
        support::log_event("client_limited",
                           {{"class", class_name}, {"reason", reason}, {"count", std::to_string(*count)}});
}

void client_limits::refresh_gauges()
{
    for (const auto of : all_classes) {
        const auto labels = support::label("class", limits::to_string(of));
        metrics_.set("baobabport_client_memory_bytes", labels, static_cast<double>(account_->used(of)));
        metrics_.set("baobabport_client_memory_peak_bytes", labels, static_cast<double>(account_->peak(of)));
        metrics_.set("baobabport_client_memory_bound_bytes", labels,
                     static_cast<double>(account_->bound(of)));
    }
}

} // namespace baobabport::proxy
