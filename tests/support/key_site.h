// Test site whose desired state has workspaces.

#pragma once

#include "support/free_address.h"
#include "support/proxy_site.h"

#include <map>
#include <string>
#include <vector>

namespace testing {

using namespace baobabport;

/// A site with one process, to which states with workspaces can be applied one after the other.
class key_site : public proxy_site
{
public:
    using keys_of_workspaces = std::map<std::string, std::vector<std::string>>;

    std::uint64_t next_version() { return ++version_; }

    /// Stores a state with these workspaces and one more, and waits until the process has applied it.
    void apply_keys(keys_of_workspaces keys)
    {
        const auto probe = "probe-" + std::to_string(next_version());
        keys["probe"] = {probe};
        configure_keys(version_, keys);
        run_until([&] { return session("main", probe)->lines.front() == "READY I -"; });
    }

private:
    std::uint64_t version_ = 1;
};

} // namespace testing
