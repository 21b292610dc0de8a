// Model of a database group: terms, logs and asynchronous replication of its instances.
//
// The stand-in program serves it over HTTP; the tests call it directly in virtual time.

#pragma once

#include "consistency/instance_status.h"
#include "home/upstream.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standin {

using baobabport::consistency::instance_id;
using baobabport::consistency::instance_status;
using baobabport::consistency::position;
using baobabport::home::upstream_call;
using baobabport::home::upstream_result;
using time_point = std::chrono::steady_clock::time_point;

/// One committed change.
struct log_entry
{
    std::uint64_t term = 0;
    std::string request_id;
    std::string key; ///< empty for the entry that a promotion appends
    std::string value;
    std::string rows; ///< the answer to the statement that wrote the entry
    time_point appended_at;
};

/**
 * Instances with logs, terms and asynchronous replication.
 *
 * Invariants: an instance's promised term never decreases, not even across a crash; it accepts no write and
 * no replication of a lower term. Its log changes only by appends as primary and by replication from a
 * primary.
 */
class group_model
{
public:
    explicit group_model(std::size_t instances);

    [[nodiscard]] instance_status status(instance_id instance) const;

    /// Makes the instance refuse lower terms from now on; returns false if it has accepted a higher one.
    bool fence(instance_id instance, std::uint64_t term);

    /// Makes the instance primary of the term and appends an entry of that term; returns false for a lower
    /// term.
    bool promote(instance_id instance, std::uint64_t term, time_point now);

    /**
     * Runs a statement, or refuses it with a reason.
     *
     * `session` identifies the caller's connection; the writes of an open transaction are stored with it
     * until the commit.
     */
    upstream_result execute(instance_id instance, std::uint64_t session, const upstream_call &call,
                            time_point now);

    /// Rolls back the connection's open transaction.
    void end_session(instance_id instance, std::uint64_t session);

    /// Copies entries from primaries to the instances they can reach, once they are older than the replica's
    /// lag.
    void replicate(time_point now);

    void crash(instance_id instance);
    void restart(instance_id instance) { instances_[instance].up = true; }
    void set_lag(instance_id instance, std::chrono::milliseconds lag) { instances_[instance].lag = lag; }
    void set_disconnected(instance_id a, instance_id b, bool disconnected);

    [[nodiscard]] bool up(instance_id instance) const { return instances_[instance].up; }
    [[nodiscard]] std::size_t size() const { return instances_.size(); }
    [[nodiscard]] const std::vector<log_entry> &log(instance_id instance) const
    {
        return instances_[instance].log;
    }

private:
    struct change
    {
        std::string key;
        std::string value;
    };
    struct instance
    {
        bool up = true;
        bool primary = false;
        std::uint64_t promised_term = 0;
        std::chrono::milliseconds lag{0};
        std::vector<log_entry> log;
        std::map<std::string, std::string> rows;           ///< the state that the log produces
        std::map<std::string, std::size_t> request_ids;    ///< index of each id's first entry in the log
        std::map<std::uint64_t, std::vector<change>> open; ///< transactions by session
        std::vector<bool> disconnected;
    };

    void append(instance &it, log_entry entry);
    void truncate(instance &it, std::size_t length);
    void follow(instance &replica, const instance &primary, time_point now);
    [[nodiscard]] static position last_position(const instance &it);
    upstream_result commit(instance &it, const std::vector<change> &changes, const upstream_call &call,
                           time_point now);

    std::vector<instance> instances_;
};

} // namespace standin
