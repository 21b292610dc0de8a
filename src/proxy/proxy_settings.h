// The settings of a proxy process.

#pragma once

#include "quota/stock_bounds.h"
#include "support/address.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::proxy {

using std::chrono::milliseconds;

struct proxy_settings
{
    std::string process;
    std::string data_centre;
    support::address callers;                ///< where callers connect
    support::address probe;                  ///< where the balancer checks whether to send sessions
    std::optional<support::address> admin;   ///< serves the state dump and metrics
    std::optional<support::address> metrics; ///< a fixed port for metrics scrapers
    support::address peers;                  ///< where other processes reach this one
    support::address store;
    std::optional<support::address> promotion_orders; ///< none: this process never replaces a primary
    milliseconds shutdown_time{6000};                 ///< from SIGTERM to SIGKILL
    milliseconds configuration_bound{3000}; ///< a change takes effect within this time of its acceptance
    milliseconds drain_bound{7000};         ///< a draining instance serves at least this long
    milliseconds shortest_store_lease{1000};
    /// While the desired state is older than `revocation_bound`, callers' keys are not accepted.
    bool strict_revocation = false;
    milliseconds revocation_bound{5000};
    quota::tolerance quotas;     ///< how far a workspace may exceed its quota
    std::uint64_t memory_mb = 0; ///< memory of the VM in MiB; 0: not known
    std::uint64_t max_fds = 0;   ///< descriptors that the process may have open; 0: not known
};

} // namespace baobabport::proxy
