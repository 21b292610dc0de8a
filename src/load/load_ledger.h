// The ledger of a load run: what its callers were answered, checked against the groups' final logs.

#pragma once

#include "consistency/verdict.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace baobabport::load {

/**
 * Records the verdict of every write and finds the verdicts that the logs contradict.
 */
class load_ledger
{
public:
    void record_answer(const std::string &database, const std::string &request_id,
                       consistency::verdict outcome);

    /// Records one entry of a database's final log.
    void logged(const std::string &database, const std::string &request_id);

    /// Records that a caller did not read its own write; `what` is the line to report.
    void record_stale_read(const std::string &what) { stale_reads_.push_back(what); }

    /**
     * Returns all violations of the guarantees, one line each.
     */
    [[nodiscard]] std::vector<std::string> violations() const;

    [[nodiscard]] std::size_t writes() const { return writes_.size(); }

private:
    struct record
    {
        consistency::verdict outcome = consistency::verdict::unknown;
        std::size_t logged = 0;
    };

    std::map<std::string, record> writes_; ///< by database and request id, separated by a space
    std::vector<std::string> stale_reads_;
};

} // namespace baobabport::load
