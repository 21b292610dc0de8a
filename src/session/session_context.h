// Session state between statements: values, prepared statements and the position of the last commit.

#pragma once

#include "consistency/position.h"
#include "session/statement.h"

#include <compare>
#include <map>
#include <optional>
#include <string>

namespace baobabport::session {

/// A prepared statement, identified by its content instead of the name that its session chose.
struct prepared_statement
{
    bool writes = false;
    std::string shape;

    auto operator<=>(const prepared_statement &) const = default;

    /// Returns the name that requests between processes use for it. It may hold blanks, and is no name for an
    /// instance.
    [[nodiscard]] std::string peer_name() const { return (writes ? "w_" : "r_") + shape; }
};

/// Values by name, as set by a session.
using session_values = std::map<std::string, std::string>;

/**
 * The state of one session, kept independently of the connections that serve it.
 */
class session_context
{
public:
    /// Maximum number of values, and of prepared statements, of one session; bounds its memory.
    static constexpr std::size_t max_entries = 256;
    /// Maximum size of all values, shapes and their names together, in bytes. A request to another process
    /// contains the values, one shape twice, and a statement of the maximum length.
    static constexpr std::size_t max_size = std::size_t{1024} * 1024;

    /// Sets a value; returns false if the session has too many or they would be too long. The former value
    /// then stays.
    bool set_value(const std::string &name, const std::string &value);

    /// Stores a prepared statement; returns false if the session has too many or they would be too long. The
    /// former one of that name then stays.
    bool prepare(const std::string &name, prepared_statement prepared);

    /// Returns why the last value or prepared statement was refused.
    [[nodiscard]] const std::string &last_reason() const { return last_reason_; }

    /// Erases a prepared statement; returns false if there is none of that name.
    bool close_prepared(const std::string &name);

    /// Returns the prepared statement of that name, or none.
    [[nodiscard]] const prepared_statement *find_prepared(const std::string &name) const;

    [[nodiscard]] const session_values &values() const { return values_; }

    /// Returns the bytes of memory that the values and prepared statements hold, approximately.
    [[nodiscard]] std::size_t held_bytes() const
    {
        constexpr std::size_t entry_bytes = 160; // of a map's node and the strings' own allocations
        return size_ + (values_.size() + prepared_.size()) * entry_bytes;
    }

    /// Records the log position of a commit of this session.
    void record_commit(consistency::position log);

    /**
     * Returns the position of the session's last commit, or none.
     *
     * A commit of an earlier term may have been lost with its primary; one that was kept is in the new
     * primary's log.
     */
    [[nodiscard]] std::optional<consistency::position> last_commit_position() const
    {
        return last_commit_position_;
    }

private:
    /// Replaces `freed` by `added` bytes; returns false, and changes nothing, if they would be too many.
    bool reserve(std::size_t freed, std::size_t added, const char *what);

    session_values values_;
    std::map<std::string, prepared_statement> prepared_;
    std::size_t size_ = 0; ///< of names, values and shapes; at most `max_size`
    std::string last_reason_;
    std::optional<consistency::position> last_commit_position_;
};

} // namespace baobabport::session
