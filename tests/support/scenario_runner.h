// Runs the scenario files of the scenarios folder on the fake site.

#pragma once

#include "support/fake_site.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fake {

/**
 * Runs one scenario. Each line is a verb with its arguments; `#` begins a comment.
 *
 * | line | does |
 * | --- | --- |
 * | `write CALLER KEY VALUE via HOME expect VERDICT` | sends a booking with a new id, waits for the answer |
 * | `repeat CALLER KEY VALUE via HOME expect VERDICT` | sends the caller's last write again, same id |
 * | `read CALLER KEY via HOME expect VALUE` | a read that must not be stale; `nothing` stands for no row |
 * | `sheet CALLER KEY via HOME expect VALUE` | a read that may be stale |
 * | `crash N`, `restart N`, `isolate N`, `rejoin N` | faults of an instance, counted from 1 |
 * | `cut HOME from N`, `mend HOME to N` | the link between a home and an instance |
 * | `split N from M`, `join N to M` | the link between two instances |
 * | `pause HOME`, `resume HOME`, `kill HOME` | faults of a home, counted from 1 |
 * | `lag MS`, `lose answer`, `late answer MS` | replication lag, a lost answer, a delayed answer |
 * | `leaving N` | drains an instance |
 * | `wait MS` | advances the time |
 * | `primary is N` | checks which instance is primary |
 * | `once CALLER` | checks that the primary's log holds the caller's last write exactly once |
 */
class scenario_runner
{
public:
    scenario_runner();

    /**
     * Runs the text of a scenario; returns each failed line with the reason.
     */
    std::vector<std::string> run(const std::string &text);

private:
    struct caller
    {
        std::optional<consistency::position> floor;
        bool in_doubt = false;
        int writes = 0;
        std::string last_id;
    };

    std::optional<std::string> run_line(const std::vector<std::string> &words);
    std::optional<std::string> run_request(const std::vector<std::string> &words);
    std::optional<std::string> run_fault(const std::vector<std::string> &words);
    std::optional<std::string> run_check(const std::vector<std::string> &words);
    inner::statement_answer send(caller &who, const inner::statement_request &request, std::size_t home);

    std::unique_ptr<fake_site> site_;
    std::map<std::string, caller> callers_;
};

} // namespace fake
