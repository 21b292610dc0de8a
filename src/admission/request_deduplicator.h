// Deduplicates requests by the id that the caller set: a repeated request gets the first answer.

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
 * Stores the running and the recently answered requests that have an id.
 *
 * Only `ran` answers are stored. After `not_run` a repeat may run; after `unknown` it is sent to the
 * database, which stored the id with the first run if there was one.
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
     * Claims the id for the request `key`: the first claim runs, a later one waits for the first or gets its
     * answer.
     */
    claim begin(const std::string &id, std::uint64_t key, time_point now);

    /**
     * Records the first request's answer; returns the keys of the requests that waited for it.
     */
    std::vector<std::uint64_t> finish(const std::string &id, const inner::statement_answer &answer,
                                      time_point now);

    /// Removes a waiting request whose deadline has passed.
    void remove_waiter(const std::string &id, std::uint64_t key);

    /// Removes answers older than `retention`, and the oldest above `max_entries`.
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
