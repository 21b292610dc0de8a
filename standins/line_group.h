// A group of instances that speak the line protocol, in the process of a test.

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
#include <string>
#include <vector>

struct event_base;
struct evconnlistener;
struct bufferevent;

namespace standin {

class line_instance;

/// A statement that an instance ran for a caller.
struct ran_statement
{
    std::string instance;
    std::uint64_t connection = 0;
    std::string id;
    std::string text;
    std::map<std::string, std::string> values; ///< of its connection
    bool in_transaction = false;
};

/// A commit, as the groups' log holds it.
struct log_entry
{
    baobabport::consistency::position at;
    std::map<std::string, std::string> items;
};

/// What the instances of a group are like.
struct line_group_traits
{
    std::uint32_t max_connections = 16;
    std::uint32_t slots = 0; ///< statements that run at the same time; 0: any number, at once
    std::uint32_t queue = 8; ///< statements that wait for a slot; more are refused as busy
    std::chrono::milliseconds statement_time{0}; ///< time that a statement has its slot
    std::chrono::milliseconds lag{0};            ///< a replica applies what it has received so much later
    std::chrono::milliseconds step_down{1000};   ///< a former primary gives way so long after another leads
    std::chrono::milliseconds promote{0};        ///< from the order to the lead
};

/**
 * Instances on loopback ports, with a log each. A commit reaches replicas that are not deaf at once; they
 * apply it after the lag.
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

    /// Makes the instance the primary of the next term, after a time; false: it is not running.
    bool promote(const std::string &id);

    /// Takes a commit of the instance; returns its position.
    baobabport::consistency::position commit(line_instance &by, std::map<std::string, std::string> items);

    std::vector<ran_statement> ran;
    line_group_traits traits;

private:
    void complete_promotion(const std::string &id);
    void step_down();

    event_base *base_;
    std::string service_;
    std::map<std::string, std::unique_ptr<line_instance>> instances_;
    std::uint64_t term_ = 1;
    std::string promoting_; ///< the instance whose promotion is under way
    baobabport::inner::timer promotion_timer_;
    baobabport::inner::timer step_down_timer_;
};

/**
 * One instance.
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

    /// Stops listening and cuts all connections.
    void crash();
    [[nodiscard]] bool crashed() const { return listener_ == nullptr; }

    /// Cuts all connections and goes on listening.
    void reset_connections();

    /// Comes back at its address with its log; as a replica if another instance leads by now.
    void restart(bool as_primary);

    /// Applies what was received, up to the entry.
    void apply(std::size_t entries);

    /// Takes over a log, to be applied after the lag.
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
    bool drops_replication = false; ///< receives nothing
    bool unresponsive = false;      ///< takes what comes and answers nothing
    int lose_answers = 0;           ///< runs so many statements without answering
    std::string fail_next_with;     ///< error word for the next statement of a caller
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
    std::size_t applied_ = 0; ///< entries of the log that reads see
    std::list<job> jobs_;     ///< running, then waiting
    std::uint64_t last_job_ = 0;
    std::list<std::unique_ptr<baobabport::inner::timer>> apply_timers_; ///< one for each entry on its way
};

} // namespace standin
