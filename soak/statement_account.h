// Compares the statements that instances ran with what their callers had sent and set up.

#pragma once

#include "line_group.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace soak {

/// A statement as its caller sent it, and what must hold when an instance runs it.
struct sent_statement
{
    std::string caller;
    std::string text;
    std::map<std::string, std::string> values; ///< session values that were acknowledged
    std::string shape;             ///< of an `EXECUTE`: kind and shape that were acknowledged for its name
    std::uint64_t transaction = 0; ///< number of the caller's transaction; 0: none
};

/// Returns the text in quotes, with bytes other than printable ASCII as `\xNN`.
[[nodiscard]] std::string quoted(const std::string &text);

/**
 * Checks the guarantees on session state: text, values, prepared statements and transactions.
 *
 * A statement may run after its caller was answered or has left, but only with the state that it was sent
 * with. Reads outside transactions may be repeated, and so may the first statement of a transaction, each
 * time in a new transaction of an instance. All other statements run at most once.
 */
class statement_account
{
public:
    /// Returns the number of a new transaction of a caller.
    std::uint64_t begin_transaction() { return ++last_transaction_; }

    /// Records a statement; must be called before the statement is sent.
    void record_sent(const std::string &id, sent_statement it);

    /// Returns the violations that the statement shows. The proxy's own statements, with the id `-`, have
    /// none.
    [[nodiscard]] std::vector<std::string> check(const standin::ran_statement &ran);

private:
    /// A transaction of an instance.
    struct place
    {
        std::string instance;
        std::uint64_t connection = 0;
        std::uint64_t transaction = 0;

        std::strong_ordering operator<=>(const place &) const = default;
        [[nodiscard]] std::string text() const;
    };
    struct caller_transaction
    {
        std::string first;            ///< id of its first statement that needs an instance
        std::set<place> began_at;     ///< where the first statement ran
        std::optional<place> settled; ///< where the second statement ran; all later ones must run there
    };

    void check_transaction(const std::string &id, const sent_statement &sent, const place &at,
                           std::vector<std::string> &kinds);
    void check_repeat(const std::string &id, const sent_statement &sent, std::vector<std::string> &kinds);

    std::map<std::string, sent_statement> sent_; ///< by id
    std::set<std::string> ran_;                  ///< ids
    std::map<std::uint64_t, caller_transaction> transactions_;
    std::map<place, std::uint64_t> owners_; ///< the caller's transaction at each place
    std::uint64_t last_transaction_ = 0;
};

} // namespace soak
