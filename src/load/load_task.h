// Sends an open-loop workload to running entries and measures the answers.

#pragma once

#include "consistency/verdict.h"
#include "http/http_client.h"
#include "inner/timer.h"
#include "load/load_ledger.h"
#include "load/workload_plan.h"
#include "support/address.h"
#include "support/metrics.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <vector>

namespace baobabport::load {

/// A database and the control address of its stand-in group.
struct group_endpoint
{
    std::string database;
    support::address control;
};

/// The results of one request stream.
struct stream_result
{
    support::latency_histogram latency; ///< of the requests that ran, from their planned arrival
    std::size_t sent = 0;
    std::size_t ran = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t late = 0; ///< ran, but was answered after the deadline
    std::size_t by_replica = 0;
    std::size_t read_backs = 0;
    std::size_t read_backs_by_replica = 0;
    std::chrono::microseconds max_latency{0};
    std::chrono::microseconds longest_gap{0}; ///< between two acknowledged requests
    std::map<std::string, std::size_t> reasons;
};

/**
 * Runs one workload plan.
 *
 * Arrivals follow the plan's schedule whether or not earlier requests are answered, and each latency is
 * measured from the planned arrival, so that a slow system cannot reduce its own load.
 */
class load_task
{
public:
    using finished_hook = std::function<void()>;

    load_task(event_base *base, workload_plan plan, std::vector<support::address> entries,
              std::vector<group_endpoint> groups, finished_hook finished);
    load_task(const load_task &) = delete;
    load_task &operator=(const load_task &) = delete;
    ~load_task() = default;

    /// Returns the results and the violations of the guarantees, as JSON.
    [[nodiscard]] nlohmann::json report() const;
    [[nodiscard]] bool no_violations() const { return ledger_.violations().empty(); }

    /// Checks the ledger against a group's final log. Called by the program when the load has ended.
    void check_log(const std::string &database, const nlohmann::json &log);

private:
    using time_point = std::chrono::steady_clock::time_point;

    struct active_stream
    {
        request_stream plan;
        stream_result result;
        std::uint64_t next = 0; ///< number of the next arrival
        time_point last_ran;
    };
    struct pending_request
    {
        std::size_t stream = 0;
        std::uint64_t number = 0;
        std::string database;
        std::string key;
        std::string request_id;
        std::string token;
        time_point planned;
        bool read_back = false;
    };

    void tick();
    void start_request(std::size_t stream, time_point planned);
    void send(const pending_request &it);
    void handle_answer(const pending_request &it, const http::client_answer &answer);
    void handle_read_back(const pending_request &it, const nlohmann::json &body);
    void begin_fault(const timed_fault &it);
    [[nodiscard]] std::shared_ptr<http::http_client> client_of(std::size_t entry);

    event_base *base_;
    workload_plan plan_;
    std::vector<support::address> entries_;
    std::vector<group_endpoint> groups_;
    finished_hook finished_;
    std::vector<active_stream> streams_;
    std::vector<std::vector<std::shared_ptr<http::http_client>>> idle_; ///< by entry
    std::list<std::shared_ptr<http::http_client>> controls_;
    load_ledger ledger_;
    std::mt19937_64 random_;
    inner::timer timer_;
    time_point began_;
    std::size_t in_progress_ = 0;
    std::size_t next_entry_ = 0;
    std::size_t faults_begun_ = 0;
};

} // namespace baobabport::load
