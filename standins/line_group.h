// Stand-in for a database group whose instances use the line protocol; runs inside a test process.

#pragma once

#include "consistency/position.h"
#include "inner/timer.h"
#include "line_instance.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

struct event_base;

namespace standin {

/// A statement that an instance ran for a client.
struct ran_statement
{
    std::string instance;
    std::uint64_t connection = 0;
    std::string id;
    std::string text;
    std::map<std::string, std::string> values; ///< session values of its connection
    bool in_transaction = false;
    std::uint64_t transaction = 0; ///< number of the instance's transaction; 0: outside any
    std::string shape;             ///< of an `EXECUTE`: kind and shape that were prepared under its name
    std::string caller = {};       ///< the second word of its connection's `CONNECT`
};

/// Limits and timing of the instances of a group.
struct line_group_traits
{
    std::uint32_t max_connections = 16;
    std::uint32_t slots = 0; ///< statements that run at the same time; 0: no limit, each runs at once
    std::uint32_t queue = 8; ///< statements that may wait for a slot; further ones get `BUSY`
    std::chrono::milliseconds statement_time{0}; ///< time for which a statement occupies its slot
    std::chrono::milliseconds lag{0};            ///< delay from receiving an entry to applying it
    std::chrono::milliseconds step_down{1000};   ///< delay from a promotion until former primaries step down
    std::chrono::milliseconds promote{0};        ///< delay from the order until the instance is primary
};

/**
 * Instances that listen on loopback ports, with a log each. Replicas that do not drop replication receive a
 * commit at once and apply it after the lag.
 */
class line_group
{
public:
    line_group(event_base *base, std::string service, const std::vector<std::string> &instances);
    ~line_group();
    line_group(const line_group &) = delete;
    line_group &operator=(const line_group &) = delete;

    [[nodiscard]] line_instance &at(const std::string &id) { return *instances_.at(id); }
    [[nodiscard]] const std::string &service() const { return service_; }
    [[nodiscard]] std::vector<std::string> ids() const;

    /// Makes the instance the primary of the next term after `traits.promote`; returns false if it is not
    /// running.
    bool promote(const std::string &id);

    /// Appends a commit to the primary's log, sends it to the replicas and returns its position.
    baobabport::consistency::position commit(line_instance &by, std::map<std::string, std::string> items);

    std::vector<ran_statement> ran;
    line_group_traits traits;
    std::string refused_value; ///< a `SET` of this name gets `READONLY`; empty: none
    std::string refused_shape; ///< a `PREPARE` of it gets `MALFORMED`; empty: none

    /// Called at the end of a promotion for each entry that the new primary's log lacks. `only_at_primary`:
    /// of the term that ends, and in no log but that of its primary.
    std::function<void(const log_entry &entry, bool only_at_primary)> rolled_back = [](const auto &, bool) {};

private:
    void complete_promotion(const std::string &id);
    void report_rolled_back(const line_instance &chosen);
    void step_down();

    event_base *base_;
    std::string service_;
    std::map<std::string, std::unique_ptr<line_instance>> instances_;
    std::uint64_t term_ = 1;
    std::set<std::pair<std::uint64_t, std::uint64_t>> reported_; ///< term and offset of entries rolled back
    std::string promoting_; ///< the instance whose promotion is in progress
    baobabport::inner::timer promotion_timer_;
    baobabport::inner::timer step_down_timer_;
};

} // namespace standin
