// Workspaces of a seed: changes of keys, and the search for keys in what processes write and send.

#include "soak_site.h"

#include <fstream>
#include <iterator>

namespace soak {

using std::chrono::milliseconds;

bool soak_site::has_workspaces() const
{
    constexpr std::uint64_t interval = 4;
    return options_.seed % interval != 1;
}

void soak_site::change_keys()
{
    const auto what = plan_.change();
    configure();
    log_event(what + ", desired state " + std::to_string(version_));
}

void soak_site::check_for_keys(const std::string &text, const std::string &where)
{
    if (text.find(workspace_plan::key_mark) != std::string::npos)
        writes_.violation("a key appears in " + where);
}

void soak_site::check_logs()
{
    for (const auto &it : proxies_) {
        std::ifstream log(options_.folder + '/' + it->name + ".log");
        check_for_keys({std::istreambuf_iterator<char>(log), {}}, "the log of " + it->name);
    }
}

void soak_site::check_final_removal()
{
    plan_.replace_all_keys();
    configure();
    log_event("all keys are replaced, desired state " + std::to_string(version_));
    run_for(workspace_account::revocation_bound + milliseconds(1000));
}

} // namespace soak
