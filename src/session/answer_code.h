// The outcomes, other than success, that a caller or an instance reports for a statement.

#pragma once

#include <cstdint>

namespace baobabport::session {

/// Why a statement did not succeed.
enum class answer_code : std::uint8_t
{
    busy,             ///< not run: no capacity
    aborted,          ///< not run or rolled back
    lagging,          ///< not run: the log lacks the requested position
    read_only,        ///< not run: the instance is not the primary
    moved,            ///< not run: another instance has the address
    connection_limit, ///< not run: the instance has no connection left
    in_doubt,         ///< may have run
    timed_out,        ///< may have run
    failed,           ///< ran without success
    unknown_name,     ///< not run: no prepared statement of that name
    malformed,        ///< not run: not a valid statement here
    no_database,      ///< not run: no route for the database
    denied,           ///< not run: the key identifies no workspace
};

/**
 * Returns true if the code guarantees that no effect of the attempt is kept.
 */
[[nodiscard]] constexpr bool guarantees_no_effect(answer_code code)
{
    switch (code) {
    case answer_code::busy:
    case answer_code::aborted:
    case answer_code::lagging:
    case answer_code::read_only:
    case answer_code::moved:
    case answer_code::connection_limit:
        return true;
    default:
        return false;
    }
}

/**
 * Returns true if an instance that answers with the code has not run the statement.
 */
[[nodiscard]] constexpr bool proves_not_run(answer_code code)
{
    return guarantees_no_effect(code) || code == answer_code::unknown_name ||
           code == answer_code::malformed || code == answer_code::no_database || code == answer_code::denied;
}

} // namespace baobabport::session
