// The state that a caller's session has had acknowledged.

#pragma once

#include "statement_account.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace soak {

/**
 * Follows the statements of one session and their answers, and records in the account what must hold when a
 * statement runs.
 */
class session_record
{
public:
    session_record(statement_account &account, std::string caller)
        : account_(account), caller_(std::move(caller))
    {
    }

    /// Begins a new session, of which nothing has been acknowledged.
    void begin();

    /// Records a statement; must be called before it is sent.
    void record_sent(const std::string &id, const std::string &text);

    /// Records the answer to the last statement. `ends_transaction`: no transaction is open any more.
    void record_answer(bool succeeded, bool ends_transaction);

    [[nodiscard]] const std::map<std::string, std::string> &prepared() const { return prepared_; }

    /// Returns the names of the prepared statements of the kind, `READ` or `WRITE`.
    [[nodiscard]] std::vector<std::string> names_of(const std::string &kind) const;

private:
    statement_account &account_;
    std::string caller_;
    std::string last_text_; ///< empty: no statement since the session began
    std::map<std::string, std::string> values_;
    std::map<std::string, std::string> prepared_; ///< kind and shape by name
    std::uint64_t transaction_ = 0;               ///< at the account; 0: none is open
};

} // namespace soak
