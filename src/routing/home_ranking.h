// Which pooler is a database's home, and which come next.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace baobabport::routing {

/// A pooler that may be a home.
struct candidate
{
    std::string name;
    std::string data_centre;
};

/// A database, as far as its ranking goes.
struct ranked_database
{
    std::string name;
    std::vector<std::string> data_centres; ///< of its instances
};

/**
 * Returns the candidates' indices from the home downwards.
 *
 * Rendezvous hashing: each process computes the same list without asking anyone, and a candidate that
 * comes or goes moves only the databases for which it is first. Candidates in one of the database's data
 * centres stand before all others.
 */
[[nodiscard]] std::vector<std::size_t> rank_homes(const ranked_database &database,
                                                  const std::vector<candidate> &candidates);

} // namespace baobabport::routing
