// State that sessions have set up on a shared connection to an instance, and what a further session needs.

#pragma once

#include "session/session_context.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

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
    session_values values;
    std::optional<named_statement> prepare;

    [[nodiscard]] bool empty() const { return !reset && values.empty() && !prepare; }
};

/**
 * The values and prepared statements that one connection has at its instance.
 *
 * Invariant: a name is a single word and stands for one prepared statement as long as the connection lasts.
 */
class connection_state
{
public:
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

    [[nodiscard]] const session_values &values() const { return values_; }

private:
    session_values values_;
    std::map<prepared_statement, std::string> names_;
    std::uint64_t last_name_ = 0; ///< never reset: a name is not used for a second statement
};

} // namespace baobabport::session
