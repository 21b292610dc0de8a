// A client that runs random operations in its sessions and records the answers in the ledger.

#pragma once

#include "inner/timer.h"
#include "ledger.h"
#include "platform/line_codec.h"
#include "session_record.h"
#include "support/address.h"
#include "workspace_account.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

struct event_base;
struct bufferevent;

namespace soak {

/// A process's address for callers, with the checks that apply when it closes a session.
struct entry_point
{
    baobabport::support::address at;
    /// Returns true while no fault is active or has been active recently; processes may shut down as planned.
    std::function<bool()> undisturbed;
    /// Returns true if an instance has run the statement with this id.
    std::function<bool(const std::string &id)> has_run;
};

/// The keys that callers present.
struct caller_keys
{
    workspace_account *account = nullptr;
    std::function<std::string()> pick; ///< returns the key of a new session
    std::vector<std::string> routes;   ///< `main`, `own`, `old` and, needing no key, `open`
};

/**
 * Has one session at a time, with a random process. Each caller writes only its own items and sets its own
 * tag as a session value. Other values and the names of prepared statements collide with those of other
 * callers and change all the time.
 */
class caller
{
public:
    caller(event_base *base, ledger &writes, statement_account &account,
           const std::vector<entry_point> &entries, caller_keys keys, std::string name, std::string service,
           std::uint64_t seed);
    ~caller();
    caller(const caller &) = delete;
    caller &operator=(const caller &) = delete;

    /// Stops after the current operation.
    void stop() { stopping_ = true; }

    /// Resets the number of served operations to 0.
    void reset_served() { served_ = 0; }

    /// Returns the number of operations served since the last reset.
    [[nodiscard]] std::uint64_t served() const { return served_; }

private:
    using answer_hook = std::function<void(const std::string &code, const std::string &row)>;

    void connect();
    void close(bool by_peer);
    void check_admission(bool admitted);
    void read_lines();
    void next();
    void send_statement(const std::string &text, answer_hook done);
    void send_random(const std::string &item, const std::string &data, const answer_hook &done);
    void write();
    void read_item(const std::string &item);
    void transaction();
    void write_pair(const std::string &item, std::uint64_t number);
    void read_transaction();
    void read_twice(const std::string &item, time_point floor, bool again);
    void finish_transaction(std::uint64_t number, bool commit);
    void record_answer(const std::string &item, std::uint64_t number, const std::string &code);
    void begin_new_items();
    [[nodiscard]] time_point floor_time() const;
    [[nodiscard]] std::string current_item() const;
    std::uint64_t random(std::uint64_t below) { return random_() % below; }

    event_base *base_;
    ledger &writes_;
    const std::vector<entry_point> &entries_;
    caller_keys keys_;
    std::string key_; ///< of the present session
    time_point connected_at_;
    std::string name_;
    std::string service_;
    std::mt19937_64 random_;
    baobabport::inner::timer pause_;
    baobabport::inner::timer answer_timer_;
    bufferevent *socket_ = nullptr;
    baobabport::platform::line_reader reader_;
    std::size_t entry_ = 0;
    std::string route_; ///< `main`, `own` or `old`, followed by the service
    std::string code_;  ///< error code of the answer being received; empty without an error
    std::string row_;
    answer_hook on_answer_;
    session_record session_;
    std::uint64_t statements_ = 0;
    std::string last_id_;
    time_point sent_at_;           ///< when the last statement was sent
    std::uint64_t generation_ = 0; ///< part of the item names; a write of unknown outcome begins new items
    std::uint64_t last_commit_position_ = 0;
    bool stopping_ = false;
    std::uint64_t served_ = 0;
};

} // namespace soak
