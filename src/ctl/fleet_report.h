// The report of `baobabport-ctl status`, built from the processes' states.

#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace baobabport::ctl {

/**
 * Returns the report for `status` from the states of the processes that answered and the names of those
 * that did not.
 *
 * Shape: `problems`, a list of texts; `processes`, by name; `databases`, by name with home, primary, term,
 * queue and the revision in effect at each process.
 */
nlohmann::json make_fleet_report(const std::vector<nlohmann::json> &states,
                                 const std::vector<std::string> &unresponsive);

} // namespace baobabport::ctl
