#include "load/load_ledger.h"

namespace baobabport::load {

using consistency::verdict;

void load_ledger::record_answer(const std::string &database, const std::string &request_id, verdict outcome)
{
    writes_[database + ' ' + request_id].outcome = outcome;
}

void load_ledger::logged(const std::string &database, const std::string &request_id)
{
    const auto it = writes_.find(database + ' ' + request_id);
    if (it != writes_.end())
        ++it->second.logged;
}

std::vector<std::string> load_ledger::violations() const
{
    auto out = stale_reads_;
    for (const auto &[id, it] : writes_) {
        if (it.outcome == verdict::ran && it.logged == 0)
            out.push_back(id + ": acknowledged and lost");
        if (it.logged > 1)
            out.push_back(id + ": ran " + std::to_string(it.logged) + " times");
        if (it.outcome == verdict::not_run && it.logged > 0)
            out.push_back(id + ": answered not_run, but ran");
    }
    return out;
}

} // namespace baobabport::load
