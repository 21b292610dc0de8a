// Stand-in for one instance of a database group that uses the line protocol; runs inside a test process.

#pragma once

#include "consistency/position.h"
#include "inner/timer.h"
#include "support/address.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct event_base;
struct evconnlistener;

namespace standin {

class line_group;

/// A commit in an instance's log.
struct log_entry
{
    baobabport::consistency::position at;
    std::map<std::string, std::string> items;
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

    /// Forgets the prepared statements of all connections.
    void forget_prepared();

    /// Forgets the prepared statements and the values of all connections.
    void forget_session_state();

    /// Listens again at the same address with the same log, as primary or as replica.
    void restart(bool as_primary);

    /// Applies the first `entries` entries of the log; never reverts applied ones.
    void apply(std::size_t entries);

    /// Replaces the log by that of a primary and applies it after the lag.
    void receive_log(const std::vector<log_entry> &from);
    [[nodiscard]] std::size_t open_transactions() const;
    [[nodiscard]] std::size_t prepared_statements() const; ///< of all connections
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
    std::string more_rows;          ///< lines before the answers to statements of clients
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
    std::uint64_t last_transaction_ = 0;
    std::size_t applied_ = 0; ///< number of log entries that reads use
    std::list<job> jobs_;     ///< running jobs, then waiting ones
    std::uint64_t last_job_ = 0;
    std::list<std::unique_ptr<baobabport::inner::timer>>
        apply_timers_; ///< one for each received log that is not applied yet
};

} // namespace standin
