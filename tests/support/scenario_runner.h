// Runs the line-based scenarios of the scenarios folder over the fake site.

#pragma once

#include "support/fake_site.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fake {

/**
 * One scenario: lines of a verb and its words.
 *
 * | line | does |
 * | --- | --- |
 * | `write CALLER KEY VALUE via HOME expect VERDICT` | a booking with an id of its own, awaited |
 * | `repeat CALLER KEY VALUE via HOME expect VERDICT` | the caller's last write again, with the same id |
 * | `read CALLER KEY via HOME expect VALUE` | a fresh read; `nothing` stands for no row |
 * | `sheet CALLER KEY via HOME expect VALUE` | a read that may be old |
 * | `crash N`, `restart N`, `isolate N`, `rejoin N` | an instance, from 1 |
 * | `cut HOME from N`, `mend HOME to N` | the way between a home and an instance |
 * | `split N from M`, `join N to M` | the way between two instances |
 * | `pause HOME`, `resume HOME`, `kill HOME` | a home, from 1 |
 * | `lag MS`, `lose answer`, `late answer MS`, `leaving N` | |
 * | `wait MS` | lets time pass |
 * | `primary is N` | checks who is primary |
 * | `once CALLER` | the caller's last write stands exactly once in the primary's log |
 */
class scenario_runner
{
public:
    scenario_runner();

    /**
     * Runs the text; returns what went against it, each with its line.
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
