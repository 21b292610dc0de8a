// What the callers of a load run were told, and its check against the groups' logs.

#pragma once

#include "consistency/verdict.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace baobabport::load {

/**
 * Keeps the verdict of every write and finds what the logs say against it.
 */
class load_ledger
{
public:
    void record_answer(const std::string &database, const std::string &request_id,
                       consistency::verdict outcome);

    /// Takes in one entry of a database's final log.
    void logged(const std::string &database, const std::string &request_id);

    /// Takes in that a caller read less than it had written.
    void record_stale_read(const std::string &what) { stale_reads_.push_back(what); }

    /**
     * Returns every broken promise, one line each.
     */
    [[nodiscard]] std::vector<std::string> violations() const;

    [[nodiscard]] std::size_t writes() const { return writes_.size(); }

private:
    struct record
    {
        consistency::verdict outcome = consistency::verdict::unknown;
        std::size_t logged = 0;
    };

    std::map<std::string, record> writes_; ///< by database and request id
    std::vector<std::string> stale_reads_;
};

} // namespace baobabport::load
