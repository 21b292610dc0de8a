// Answers that wait until what they show is safe to show.

#pragma once

#include "consistency/group_view.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace baobabport::consistency {

/// Why a held answer left the hold.
enum class release_kind : std::uint8_t
{
    durable, ///< a majority holds it: the answer may go out
    expired, ///< its deadline passed
    lost,    ///< a later primary's log does not hold it
};

/**
 * Holds answers by position until a majority of the group has the position in its term.
 *
 * A held answer occupies neither slot nor connection.
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
     * Holds an answer. With `confirm_since`, the term must also be confirmed by a majority asked at or
     * after that time.
     */
    void hold(key id, position at, time_point deadline, std::optional<time_point> confirm_since);

    /**
     * Takes in that a primary was promoted at `term` from a log that ends at `base`.
     *
     * Answers of `base.term` up to `base` now wait for the new term's first entry; later ones are lost.
     */
    std::vector<release> rebase(position base, std::uint64_t term);

    /**
     * Takes out the answers of terms before `term`, whose place in the new term's log is not known.
     */
    std::vector<release> remove_superseded(std::uint64_t term);

    /**
     * Returns the answers that may leave, and forgets them.
     */
    std::vector<release> collect(const group_view &group, time_point now);

    /**
     * Returns the highest position waited for in the term, or none.
     */
    [[nodiscard]] std::optional<position> highest(std::uint64_t term) const;

    /**
     * Returns true if some answer waits for a confirmation of the term.
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
