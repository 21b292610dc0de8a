// Ranks the poolers for a database: its home first, then the ones that take over.

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

/// A database, with the fields that its ranking depends on.
struct ranked_database
{
    std::string name;
    std::vector<std::string> data_centres; ///< of its instances
};

/**
 * Returns the candidates' indices in rank order, the home first.
 *
 * Uses rendezvous hashing: each process computes the same list without communication, and a candidate that
 * is added or removed moves only the databases for which it ranks first. Candidates in one of the
 * database's data centres precede all others.
 */
[[nodiscard]] std::vector<std::size_t> rank_homes(const ranked_database &database,
                                                  const std::vector<candidate> &candidates);

} // namespace baobabport::routing
