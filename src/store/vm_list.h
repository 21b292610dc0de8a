// The platform's list of leaving VMs and instances, which is updated with a delay.

#pragma once

#include "inner/timer.h"
#include "routing/store_retry_policy.h"
#include "store/store_client.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::store {

/// VMs and instances that the platform reports as leaving. Those not listed are live.
struct vm_list
{
    std::vector<std::string> leaving_vms;
    std::vector<std::string> leaving_instances; ///< `database/instance`
};

/**
 * Returns the list parsed from the store's value, or none if the value is invalid.
 */
std::optional<vm_list> read_vm_list(const std::string &value);

inline constexpr const char *vm_list_key = "vms";

/**
 * Watches the list and calls the hook with each new list.
 */
class vm_list_task
{
public:
    using change_hook = std::function<void(const vm_list &)>;

    vm_list_task(event_base *base, store_client &store, std::uint64_t seed, change_hook on_change);

private:
    void watch();

    store_client &store_;
    change_hook on_change_;
    inner::timer timer_;
    routing::store_retry_policy retry_policy_;
    std::uint64_t revision_ = 0;
};

} // namespace baobabport::store
