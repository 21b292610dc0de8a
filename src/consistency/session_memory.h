// What a home remembers of sessions, for callers that come back without their token.

#pragma once

#include "consistency/group_view.h"

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace baobabport::consistency {

/**
 * Remembers the floor of each caller for a while, and whether a write of its may have run.
 *
 * Invariant: a remembered floor never falls.
 */
class session_memory
{
public:
    struct entry
    {
        position floor;
        bool in_doubt = false;
    };

    /// Raises the caller's floor.
    void raise(const std::string &caller, position floor, time_point now);

    /// Marks that a write of the caller has an unknown outcome.
    void doubt(const std::string &caller, time_point now);

    /// Marks that the caller has seen the outcome of all its writes.
    void settle(const std::string &caller);

    /**
     * Returns what is remembered of the caller, or none.
     */
    [[nodiscard]] std::optional<entry> find(const std::string &caller) const;

    /// Forgets callers not heard of for the memory's time.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const { return callers_.size(); }

    static constexpr std::chrono::seconds memory{120};
    static constexpr std::size_t max_callers = 60000;

private:
    struct remembered
    {
        entry state;
        time_point last_used;
    };
    struct use
    {
        std::string caller;
        time_point at;
    };

    remembered &touch(const std::string &caller, time_point now);

    std::unordered_map<std::string, remembered> callers_;
    std::deque<use> uses_; ///< oldest first; a caller stands here once for each of its uses
};

} // namespace baobabport::consistency
