// State that sessions have set up on a shared connection to an instance, and what a further session needs.

#pragma once

#include "session/session_context.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::session {

/// A prepared statement and its name on one connection.
struct named_statement
{
    std::string name;
    prepared_statement prepared;
};

/// What must be sent to an instance, in this order, before a statement of a session.
struct connection_setup
{
    bool reset = false;
    std::vector<std::string> close; ///< names of prepared statements that are no longer kept
    session_values values;
    std::optional<named_statement> prepare;

    [[nodiscard]] bool empty() const { return !reset && close.empty() && values.empty() && !prepare; }
};

/**
 * The values and prepared statements that one connection has at its instance.
 *
 * Invariant: a name is a single word and stands for one prepared statement as long as the connection lasts.
 * Outside transactions, at most `max_names` are kept.
 */
class connection_state
{
public:
    /// Prepared statements that are kept, those used last; as many as one session may have.
    static constexpr std::size_t max_names = session_context::max_entries;

    /**
     * Returns the setup for a statement of a session with these values, which executes `prepared` if there is
     * one. The setup counts as done: if any part of it fails, the connection must be closed.
     *
     * Values of other sessions can be removed only outside transactions (`in_transaction` is false).
     */
    [[nodiscard]] connection_setup require(const session_values &wanted,
                                           const std::optional<prepared_statement> &prepared,
                                           bool in_transaction);

    /// Returns the name of a statement that has been required.
    [[nodiscard]] const std::string &name_of(const prepared_statement &prepared) const;

    /// Records that the instance does not know the statement: the next use prepares it again.
    void forget(const prepared_statement &prepared) { names_.erase(prepared); }

    /// Records that the instance refused a value, and so may still have a former one of that name: the next
    /// setup outside a transaction begins with a reset.
    void refuse_value() { value_refused_ = true; }

    [[nodiscard]] const session_values &values() const { return values_; }

private:
    session_values values_;
    struct known_name
    {
        std::string name;
        std::uint64_t used = 0; ///< rises with each use of any name
    };

    /// Erases the names that were used longest ago, and returns them.
    std::vector<std::string> evict_names();

    std::map<prepared_statement, known_name> names_;
    std::uint64_t last_name_ = 0; ///< never reset: a name is not used for a second statement
    std::uint64_t last_use_ = 0;
    bool value_refused_ = false;
};

} // namespace baobabport::session
