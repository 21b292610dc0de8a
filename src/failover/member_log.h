// The processes of the fleet as a numbered sequence of changes, which travels in parts that fit a datagram.

#pragma once

#include "inner/lease_messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabport::failover {

/**
 * The list that one leader keeps, or a copy of it.
 *
 * Each change of a process has a version; only the last change of each process is kept. A copy names the
 * version that it has and receives the changes after it, a limited number at a time. Copies of one list have
 * the same versions, so that any of them can be continued from any other.
 */
class member_log
{
public:
    /// Changes in one part; about 45 bytes each.
    static constexpr std::size_t max_changes = 40;

    /// Empties the list and begins that of another leader.
    void begin(std::uint64_t generation);

    /// Makes the list equal to these processes and numbers the differences. Returns true if there were any.
    bool update(const std::vector<inner::member> &members);

    /// Returns the next part for a copy of `generation` that has `version`; from an empty list if the copy
    /// is of another leader's list, and without a change if it is ahead of this one.
    [[nodiscard]] inner::member_changes changes_since(std::uint64_t generation, std::uint64_t version) const;

    /// Applies a part. Returns false, and changes nothing, if the part does not continue this copy.
    bool apply(const inner::member_changes &part);

    /// Returns true if no part of the list is missing, as far as this copy knows.
    [[nodiscard]] bool complete() const { return version_ == newest_; }

    [[nodiscard]] std::uint64_t generation() const { return generation_; }
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] std::vector<inner::member> members() const;

private:
    struct entry
    {
        inner::member process;
        std::uint64_t version = 0;
        bool present = false; ///< false: it has left; kept for the copies that still list it
    };

    void set(const inner::member &process, std::uint64_t version, bool present);

    std::uint64_t generation_ = 0;                   ///< of the leader
    std::uint64_t version_ = 0;                      ///< all changes up to this version are included
    std::uint64_t newest_ = 0;                       ///< of the leader's list; never below `version_`
    std::map<std::string, entry> entries_;           ///< by address
    std::map<std::uint64_t, std::string> addresses_; ///< of `entries_`, by version
};

} // namespace baobabport::failover
