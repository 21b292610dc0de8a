// One soak run with one seed: proxy processes, stand-ins, callers and random faults.

#pragma once

#include "caller.h"
#include "child_process.h"
#include "http/http_client.h"
#include "kv_service.h"
#include "ledger.h"
#include "line_group.h"
#include "order_endpoint.h"
#include "order_ledger.h"
#include "peer_switch.h"
#include "relay.h"
#include "statement_account.h"
#include "workspace_account.h"
#include "workspace_plan.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

struct event_base;

namespace soak {

struct soak_options
{
    std::uint64_t seed = 1;
    std::size_t processes = 4;
    std::size_t callers = 12;
    std::chrono::milliseconds faults_for{12000};
    std::string program; ///< path of the proxy
    std::string folder;  ///< for settings and logs of the processes
    bool quotas = false; ///< check the workspaces' quotas
};

/// Set by a signal to end the run early and terminate its processes.
extern std::atomic<bool> interrupted;

/**
 * Runs one seed. Faults overlap; every third seed has only planned work (shutdowns, drains, configuration
 * changes), so that the stricter guarantees for it are checked, too. Every fourth seed has no workspaces; of
 * the others, every second one has strict revocation.
 */
class soak_site
{
public:
    explicit soak_site(const soak_options &options);
    ~soak_site();
    soak_site(const soak_site &) = delete;
    soak_site &operator=(const soak_site &) = delete;

    /// Runs the seed to its end and returns the violations.
    const std::vector<std::string> &run();

    [[nodiscard]] const ledger &write_ledger() const { return writes_; }
    [[nodiscard]] std::size_t statements_with_key() const { return keys_.statements_with_key(); }
    [[nodiscard]] const order_ledger &orders() const { return orders_; }
    [[nodiscard]] const std::vector<std::string> &events() const { return events_; }

private:
    struct proxy_process
    {
        std::string name;
        std::string settings;
        baobabport::support::address callers;
        baobabport::support::address admin;
        std::unique_ptr<relay> store; ///< its link to the store
        std::unique_ptr<order_endpoint> orders;
        std::unique_ptr<child_process> process;
        bool stopping = false; ///< SIGTERM was sent
        bool suspended = false;
        bool has_reported_state = false; ///< since the process was last started
        bool store_inaccessible = false; ///< a fault blocks this process's link to the store
        time_point started_at;
        time_point kill_deadline;              ///< a stopping process that still runs then is killed
        std::uint64_t newest_version_seen = 0; ///< version of the desired state, since the last start
        std::unique_ptr<baobabport::http::http_client> state_request;
    };
    struct member
    {
        standin::line_group *group = nullptr;
        std::string id;
        std::unique_ptr<relay> link;
        std::optional<time_point> draining_since;
        std::uint64_t started = 1;
    };
    using action = std::function<void()>;
    /// Maximum length of a short fault. Faults around the leadership may be longer, up to half of the seed's
    /// time.
    static constexpr std::chrono::milliseconds short_fault{3500};

    void make_proxies();
    void make_groups();
    void register_member(member &it);
    void configure();
    void start(proxy_process &it);
    void stop(proxy_process &it, int signal);
    void run_for(std::chrono::milliseconds time);
    bool run_until(const std::function<bool()> &condition, std::chrono::milliseconds limit);
    void tick();
    void check_proxies();
    void check_statements();
    void change_keys();
    /// Reports a text that the processes wrote or sent and that holds a key.
    void check_for_keys(const std::string &text, const std::string &where);
    void check_logs();
    /// Replaces all keys, and runs until the former ones must be without effect.
    void check_final_removal();
    [[nodiscard]] bool has_workspaces() const;
    [[nodiscard]] bool strict_revocation() const { return options_.seed % 2 == 0; }
    void record_leadership();
    void mark_disturbed(const proxy_process &it);
    int handle_order(const promotion_order &order);
    void request_states();
    void next_fault();
    void planned_fault();
    void proxy_fault();
    void store_fault();
    void instance_fault();
    void leader_fault();
    void block_store_access(proxy_process &it, std::chrono::milliseconds time);
    void store_outage(std::chrono::milliseconds time);
    void kill_leaders(std::chrono::milliseconds time);
    void crash_primaries(std::chrono::milliseconds time);
    void crash_primary(const std::string &service);
    void crash(member &it, std::chrono::milliseconds time);
    void kill_process(proxy_process &it);
    void suspend(proxy_process &it);
    proxy_process &current_leader();
    void begin_short_fault(const std::string &what, const action &begin, const action &end);
    void begin_fault(const std::string &what, std::chrono::milliseconds time, const action &begin,
                     const action &end);
    /// Runs the action after the time, unless the faults have ended by then.
    void schedule(std::chrono::milliseconds time, const action &what);
    void log_event(const std::string &text);
    void end_faults();
    void check_recovery();
    [[nodiscard]] bool quiescent() const;
    std::uint64_t random(std::uint64_t below) { return random_() % below; }
    std::chrono::milliseconds random_time(std::chrono::milliseconds shortest,
                                          std::chrono::milliseconds longest);
    template <typename T>
    T &pick_random(std::vector<std::unique_ptr<T>> &of)
    {
        return *of[random(of.size())];
    }

    soak_options options_;
    std::mt19937_64 random_;
    event_base *base_;
    ledger writes_;
    statement_account account_;
    workspace_plan plan_;
    workspace_account keys_;
    order_ledger orders_{[this](const auto &text) { writes_.violation(text); }};
    std::vector<std::string> events_;
    time_point begun_at_;
    std::unique_ptr<standin::kv_service> store_;
    peer_switch peers_;
    std::map<std::string, std::unique_ptr<standin::line_group>> groups_;
    std::vector<std::unique_ptr<member>> members_;
    std::vector<std::unique_ptr<proxy_process>> proxies_;
    std::vector<entry_point> entries_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::vector<std::unique_ptr<baobabport::inner::timer>> timers_;
    std::vector<action> fault_ends_; ///< ends each active fault, so that all can be ended early
    std::set<std::string> ran_;      ///< ids of the statements that the instances have run
    std::uint64_t version_ = 0;
    time_point version_at_;
    time_point last_disturbed_at_; ///< the last unplanned fault or the end of one
    std::size_t active_faults_ = 0;
    bool store_unavailable_ = false; ///< an outage for all processes, possibly longer than a short fault
    bool faults_on_ = false;
    time_point next_fault_at_;
    time_point next_key_change_at_;
    time_point leader_fault_until_;
    time_point next_state_request_at_;
};

} // namespace soak
