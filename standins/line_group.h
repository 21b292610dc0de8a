// Stand-in for a database group whose instances use the line protocol; runs inside a test process.

#pragma once

#include "consistency/position.h"
#include "inner/timer.h"
#include "replication/member_report.h"
#include "support/address.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

struct event_base;
struct evconnlistener;
struct bufferevent;

namespace standin {

class line_instance;

/// A statement that an instance ran for a client.
struct ran_statement
{
    std::string instance;
    std::uint64_t connection = 0;
    std::string id;
    std::string text;
    std::map<std::string, std::string> values; ///< session values of its connection
    bool in_transaction = false;
};

/// A commit in an instance's log.
struct log_entry
{
    baobabport::consistency::position at;
    std::map<std::string, std::string> items;
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

/**
 * One instance: a listener, its connections and its log.
 */
class line_instance
{
public:
    line_instance(event_base *base, line_group &group, std::string id);
    ~line_instance();
    line_instance(const line_instance &) = delete;
    line_instance &operator=(const line_instance &) = delete;

    [[nodiscard]] const std::string &id() const { return id_; }
    [[nodiscard]] baobabport::support::address address() const;

    /// Stops listening and closes all connections.
    void crash();
    [[nodiscard]] bool crashed() const { return listener_ == nullptr; }

    /// Resets all connections and continues to listen.
    void reset_connections();

    /// Listens again at the same address with the same log, as primary or as replica.
    void restart(bool as_primary);

    /// Applies the first `entries` entries of the log; never reverts applied ones.
    void apply(std::size_t entries);

    /// Replaces the log by that of a primary and applies it after the lag.
    void receive_log(const std::vector<log_entry> &from);
    [[nodiscard]] std::size_t open_transactions() const;
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    [[nodiscard]] baobabport::consistency::position received() const
    {
        return log.empty() ? baobabport::consistency::position{1, 0} : log.back().at;
    }
    [[nodiscard]] baobabport::consistency::position applied() const
    {
        return applied_ == 0 ? baobabport::consistency::position{1, 0} : log[applied_ - 1].at;
    }

    bool primary = false;
    bool drops_replication = false; ///< receives no replication and does not step down
    bool unresponsive = false;      ///< reads requests without answering them
    int lose_answers = 0;           ///< number of next statements that run without an answer
    std::string fail_next_with;     ///< error code for the next statement of a client
    std::uint64_t term = 1;
    std::uint64_t paused_at = 0;
    std::vector<log_entry> log;

private:
    struct connection;
    struct job;

    void listen();
    void accept(int socket);
    void handle_line(connection &from, const std::string &line);
    void query(connection &from, const std::string &id, std::string text);
    void admit(connection &from, const std::string &id, const std::string &text);
    void start(job &it);
    void finish(std::uint64_t number);
    void run(connection &from, const std::string &id, const std::string &text);
    void command(connection &from, const std::string &word, const std::string &rest);
    void answer(connection &to, const std::string &body);
    void send_error(connection &to, const std::string &code);
    void send_status(connection &to);
    [[nodiscard]] std::string read(const std::string &item) const;

    event_base *base_;
    line_group &group_;
    std::string id_;
    std::uint16_t port_ = 0;
    evconnlistener *listener_ = nullptr;
    std::map<std::uint64_t, std::unique_ptr<connection>> connections_;
    std::uint64_t last_connection_ = 0;
    std::uint64_t last_receipt_ = 0;
    std::size_t applied_ = 0; ///< number of log entries that reads use
    std::list<job> jobs_;     ///< running jobs, then waiting ones
    std::uint64_t last_job_ = 0;
    std::list<std::unique_ptr<baobabport::inner::timer>>
        apply_timers_; ///< one for each received log that is not applied yet
};

} // namespace standin
