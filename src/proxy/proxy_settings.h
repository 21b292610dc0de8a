// The proxy's own settings, next to what the VM gives it.

#pragma once

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
    support::address callers;                ///< where sessions come in
    support::address probe;                  ///< where the balancer asks whether to send sessions
    std::optional<support::address> admin;   ///< state dump and metrics
    std::optional<support::address> metrics; ///< a fixed port for scrapers
    support::address peers;                  ///< where the other processes reach this one
    support::address store;
    std::optional<support::address> promotion_orders; ///< none: this VM never replaces a primary
    milliseconds shutdown_time{6000};                 ///< from SIGTERM to SIGKILL
    milliseconds configuration_bound{3000}; ///< a change is in force this long after it was accepted
    milliseconds drain_bound{7000};         ///< a leaving instance serves at least this long
    milliseconds shortest_store_lease{1000};
};

} // namespace baobabport::proxy
