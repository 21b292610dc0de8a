// Which pooler an entry sends a database's requests to, given what it saw of each.

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
 * Joins the platform's lagging list of VMs with first-hand evidence.
 *
 * A pooler that failed is passed over for a time that doubles with each further failure; one that answers
 * again is trusted fully only after it has done so for a while, which damps flapping.
 */
class home_selector
{
public:
    home_selector(std::vector<candidate> candidates, std::uint64_t seed);

    /// Takes in the platform's list; a leaving pooler gets no new work.
    void set_leaving(const std::string &pooler, bool leaving);

    void answered(const std::string &pooler, time_point now);
    void failed(const std::string &pooler, time_point now);

    /// The pooler asked to be passed over for this database, for a short time.
    void declined(const std::string &database, const std::string &pooler, time_point now);

    /**
     * Returns the highest-ranked pooler that may be tried and is not in `tried`, or none.
     *
     * If evidence speaks against all, the one whose time is over first is returned: an entry that is cut
     * off from everyone keeps trying.
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
    /// By database, the first ranks only; the candidates never change.
    std::map<std::string, std::vector<std::size_t>> rankings_;
    std::vector<declined_period> declined_periods_;
    std::mt19937_64 random_;
};

} // namespace baobabport::routing
