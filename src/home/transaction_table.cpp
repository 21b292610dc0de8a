#include "home/transaction_table.h"

namespace baobabport::home {

const transaction_table::transaction *transaction_table::find(const std::string &id,
                                                              const std::string &caller) const
{
    const auto it = by_id_.find(id);
    if (it == by_id_.end() || it->second.caller != caller)
        return nullptr;
    return &it->second;
}

void transaction_table::touch(const std::string &id, time_point now)
{
    const auto it = by_id_.find(id);
    if (it != by_id_.end())
        it->second.last_used = now;
}

void transaction_table::connection_lost(connection_id connection)
{
    std::erase_if(by_id_, [&](const auto &it) { return it.second.connection == connection; });
}

std::vector<connection_id> transaction_table::idle_longer_than(std::chrono::milliseconds idle,
                                                               time_point now) const
{
    std::vector<connection_id> out;
    for (const auto &[id, it] : by_id_) {
        if (now - it.last_used >= idle)
            out.push_back(it.connection);
    }
    return out;
}

} // namespace baobabport::home
