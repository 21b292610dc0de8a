// Selects the pooler for a database's requests by rank and by the observed state of each pooler.

#pragma once

#include "routing/home_ranking.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace baobabport::routing {

using time_point = std::chrono::steady_clock::time_point;

/// The pooler to send to, and its rank, 0 first.
struct home_choice
{
    std::string pooler;
    std::uint32_t rank = 0;
};

/**
 * Combines the platform's list of VMs, which lags, with the outcomes of this entry's own requests.
 *
 * A failed pooler is excluded for a period that doubles with each further failure. Its failure count is
 * reset only after it has answered for `recovery_period`, which damps flapping.
 */
class home_selector
{
public:
    home_selector(std::vector<candidate> candidates, std::uint64_t seed);

    /// Records whether the platform's list marks the pooler as leaving; a leaving one is chosen only if there
    /// is no other.
    void set_leaving(const std::string &pooler, bool leaving);

    void record_answer(const std::string &pooler, time_point now);
    void record_failure(const std::string &pooler, time_point now);

    /// Records that the pooler declined a request for this database, which excludes it for a short time.
    void record_declined(const std::string &database, const std::string &pooler, time_point now);

    /**
     * Returns the highest-ranked pooler that may be tried and is not in `tried`, or none.
     *
     * If all are excluded, returns the one whose exclusion ends first, so that an entry that is partitioned
     * from all poolers keeps trying.
     */
    [[nodiscard]] std::optional<home_choice> choose(const ranked_database &database,
                                                    const std::vector<std::string> &tried, time_point now);

private:
    struct pooler_health
    {
        bool leaving = false;
        std::uint32_t failures = 0;
        time_point excluded_until;
        time_point answering_since;
    };
    struct declined_period
    {
        std::string database;
        std::string pooler;
        time_point until;
    };

    [[nodiscard]] bool has_declined(const std::string &database, const std::string &pooler,
                                    time_point now) const;

    std::vector<candidate> candidates_;
    std::map<std::string, pooler_health> health_;
    /// The first `max_ranks` candidates by database; the candidates never change.
    std::map<std::string, std::vector<std::size_t>> rankings_;
    std::vector<declined_period> declined_periods_;
    std::mt19937_64 random_;
};

} // namespace baobabport::routing
