// Remembers requests by the id their callers gave, so that a repeated call gets the first answer.

#pragma once

#include "inner/messages.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabport::admission {

using time_point = std::chrono::steady_clock::time_point;

/**
 * Holds the running and the lately answered requests that carry an id.
 *
 * Only an answer of `ran` is kept. After `not_run` the caller's next try may run; after `unknown` it goes to
 * the database, where the id stands beside the first run if there was one.
 */
class request_deduplicator
{
public:
    enum class claim_kind : std::uint8_t
    {
        first,
        joined,
        answered
    };

    struct claim
    {
        claim_kind kind = claim_kind::first;
        std::optional<inner::statement_answer> answer; ///< with `answered`
    };

    /**
     * Claims the id for the request `key`: the first claim runs, a later one waits with the first or gets
     * its answer.
     */
    claim begin(const std::string &id, std::uint64_t key, time_point now);

    /**
     * Takes in the first request's answer; returns the keys of the requests that waited with it.
     */
    std::vector<std::uint64_t> finish(const std::string &id, const inner::statement_answer &answer,
                                      time_point now);

    /// Forgets a waiting request that will not be answered any more.
    void remove_waiter(const std::string &id, std::uint64_t key);

    /// Forgets answers older than the memory's time.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    static constexpr std::chrono::seconds retention{120};
    static constexpr std::size_t max_entries = 60000;

private:
    struct entry
    {
        std::optional<inner::statement_answer> answer;
        std::vector<std::uint64_t> joined;
    };
    struct finished_id
    {
        std::string id;
        time_point at;
    };

    std::unordered_map<std::string, entry> entries_;
    std::deque<finished_id> finished_; ///< oldest first
};

} // namespace baobabport::admission
