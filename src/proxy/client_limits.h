// The limits of a process against its clients: memory, connections, and the record of what was done about
// them.

#pragma once

#include "limits/measure_log.h"
#include "limits/memory_account.h"
#include "limits/vm_bounds.h"
#include "support/metrics.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace baobabport::proxy {

/**
 * Owns the memory account and the bounds of the process's clients. Each measure against a client is counted
 * as `baobabport_client_limits_total` with its class and reason, and logged once a second for each reason.
 */
class client_limits
{
public:
    /// 0: not known. Then the bounds of the largest VM hold for memory, and the process's own limit for
    /// descriptors.
    client_limits(std::uint64_t memory_mb, std::uint64_t max_fds, support::metrics &metrics);

    [[nodiscard]] const std::shared_ptr<limits::memory_account> &account() const { return account_; }
    [[nodiscard]] const limits::descriptor_shares &connections() const { return connections_; }

    /// Records that a client was refused or its connection closed.
    void record(limits::client_class of, const char *reason);

    /// Sets the gauges of the account.
    void refresh_gauges();

private:
    support::metrics &metrics_;
    std::shared_ptr<limits::memory_account> account_;
    limits::descriptor_shares connections_;
    limits::measure_log log_;
};

} // namespace baobabport::proxy
