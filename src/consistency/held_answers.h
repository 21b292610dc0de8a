// Answers that are held until a majority has the log position that they reveal.

#pragma once

#include "consistency/group_view.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace baobabport::consistency {

/// Why a held answer was released.
enum class release_kind : std::uint8_t
{
    durable, ///< a majority has its position: the answer may be sent
    expired, ///< its deadline passed
    lost,    ///< a later primary's log does not contain its position, or possibly not
};

/**
 * Holds answers until a majority of the group has their log position in its term.
 *
 * A held answer occupies neither a slot nor a connection.
 */
class held_answers
{
public:
    using key = std::uint64_t;

    struct release
    {
        key id = 0;
        release_kind kind = release_kind::expired;
    };

    /**
     * Holds an answer. With `confirm_since`, a majority must also confirm the term in answer to requests sent
     * at or after that time.
     */
    void hold(key id, position at, time_point deadline, std::optional<time_point> confirm_since);

    /**
     * Adapts the held answers to a promotion at `term` of a log that ends at `base`. Returns the lost
     * answers.
     *
     * Answers of `base.term` up to `base` now wait for the new term's first entry; later ones are lost.
     */
    std::vector<release> rebase(position base, std::uint64_t term);

    /**
     * Removes and returns the answers of terms before `term`, whose position in the new term's log is
     * unknown.
     */
    std::vector<release> remove_superseded(std::uint64_t term);

    /**
     * Removes and returns the answers that are durable or expired.
     */
    std::vector<release> collect(const group_view &group, time_point now);

    /**
     * Returns the highest position of the term that an answer waits for, or none.
     */
    [[nodiscard]] std::optional<position> highest(std::uint64_t term) const;

    /**
     * Returns true if an answer waits for a confirmation of its term.
     */
    [[nodiscard]] bool needs_confirmation(const group_view &group) const;

    [[nodiscard]] std::optional<time_point> next_deadline() const;
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        key id = 0;
        position at;
        time_point deadline;
        std::optional<time_point> confirm_since;
    };

    [[nodiscard]] static bool is_releasable(const entry &it, const group_view &group);

    std::vector<entry> entries_;
};

} // namespace baobabport::consistency
