// Coalesces identical reads, so that they share one answer.

#pragma once

#include "inner/messages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabport::admission {

using time_point = std::chrono::steady_clock::time_point;

/**
 * Tracks the reads in progress and the last result of each, by sharing key (class, statement and
 * arguments).
 *
 * The number of stored results is bounded; results that are too old for any reader are removed.
 */
class read_sharing
{
public:
    /// A result and the time up to which its data is complete.
    struct result
    {
        inner::statement_answer answer;
        time_point as_of; ///< the result contains all data up to this time
        time_point stored_at;
    };

    /// A reader's requirements for a stored result.
    struct requirements
    {
        consistency::position floor;
        std::chrono::milliseconds staleness{0}; ///< 0: no stored result is accepted
        std::chrono::milliseconds share_for{0};
    };

    /**
     * Returns a stored result that satisfies the reader, or none.
     */
    [[nodiscard]] std::optional<inner::statement_answer>
    find(const std::string &sharing_key, const requirements &needs, time_point now) const;

    /**
     * Joins the read in progress and returns its key, or returns none: then `key` is the read in progress.
     */
    std::optional<std::uint64_t> join(const std::string &sharing_key, std::uint64_t key);

    /**
     * Ends the read in progress `key`; returns the keys that wait for it.
     */
    std::vector<std::uint64_t> end(const std::string &sharing_key, std::uint64_t key);

    /// Removes a waiting reader.
    void remove_waiter(const std::string &sharing_key, std::uint64_t key);

    void store(const std::string &sharing_key, result stored);

    /// Removes results stored longer ago than `max_age`.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const { return stored_results_.size(); }

    static constexpr std::chrono::seconds max_age{30};
    static constexpr std::size_t max_results = 4096;

private:
    struct shared_read
    {
        std::uint64_t first_reader = 0;
        std::vector<std::uint64_t> waiting;
    };

    std::unordered_map<std::string, shared_read> reads_in_progress_;
    std::unordered_map<std::string, result> stored_results_;
};

} // namespace baobabport::admission
