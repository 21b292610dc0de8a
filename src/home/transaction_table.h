// The open transactions of a database, each with its exclusive connection.

#pragma once

#include "home/upstream.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::home {

using time_point = std::chrono::steady_clock::time_point;

/**
 * Maps transactions to connections.
 *
 * Invariant: no two transactions have the same connection.
 */
class transaction_table
{
public:
    struct transaction
    {
        std::string id;
        connection_id connection = 0;
        instance_id instance = 0;
        std::uint64_t term = 0; ///< of the primary when it began
        std::string caller;
        time_point last_used;
    };

    void add(transaction begun) { by_id_[begun.id] = std::move(begun); }

    /**
     * Returns the transaction, or null if it is unknown or belongs to another caller.
     */
    [[nodiscard]] const transaction *find(const std::string &id, const std::string &caller) const;

    void touch(const std::string &id, time_point now);
    void remove(const std::string &id) { by_id_.erase(id); }

    /// Removes the transaction of a lost connection.
    void connection_lost(connection_id connection);

    /**
     * Returns the connections of the transactions that were not used for `idle` or longer.
     */
    [[nodiscard]] std::vector<connection_id> idle_longer_than(std::chrono::milliseconds idle,
                                                              time_point now) const;

    [[nodiscard]] std::size_t size() const { return by_id_.size(); }

private:
    std::map<std::string, transaction> by_id_;
};

} // namespace baobabport::home
