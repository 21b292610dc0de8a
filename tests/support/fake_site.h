// Simulates homes and one database group in virtual time, with faults; it implements the homes' hooks.

#pragma once

#include "group_model.h"
#include "home/database_home.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fake {

using namespace baobabport;
using home::instance_id;
using std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

struct site_options
{
    std::uint64_t seed = 1;
    std::size_t homes = 2;
    std::size_t instances = 3;
    milliseconds lag{20};
    milliseconds latency{1}; ///< of the network, one way
    home::home_defects home_defects;
    failover::failover_defects failover_defects;
};

/**
 * Homes, the instances of a group and the network between them.
 *
 * Time is virtual: only `run_for` advances it.
 */
class fake_site
{
public:
    explicit fake_site(site_options options);

    /// Schedules `what` at the given time after the start.
    void at(milliseconds time, std::function<void()> what);
    void after(milliseconds delay, std::function<void()> what);
    void run_for(milliseconds time);
    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] milliseconds elapsed() const;

    using answer_hook = std::function<void(const inner::statement_answer &)>;

    /// Sends a request to a home over the network; a home that was killed meanwhile never answers.
    void submit(std::size_t home, const inner::statement_request &request, answer_hook done);

    void crash(instance_id instance);
    void restart(instance_id instance);
    void disconnect_home(std::size_t home, instance_id instance, bool disconnected);
    void disconnect_home_from_all(std::size_t home, bool disconnected);
    void disconnect_instances(instance_id a, instance_id b, bool disconnected)
    {
        group_.set_disconnected(a, b, disconnected);
    }
    void isolate(instance_id instance, bool disconnected); ///< from all homes and the other instances
    void set_lag(milliseconds lag);
    void pause(std::size_t home) { homes_[home].paused = true; }
    void resume(std::size_t home);
    void kill(std::size_t home); ///< the process is killed and replaced by one without state
    void lose_next_answer() { ++lose_answers_; }
    void delay_next_answer(milliseconds by) { delay_answers_.push_back(by); }
    void repeat_next_answer() { ++repeat_answers_; }
    void end_connections(std::size_t home); ///< closes all upstream connections of the home
    void set_leaving(instance_id instance, bool leaving);
    void heal(); ///< ends all faults; a delayed step of a fault must check `healed` first
    [[nodiscard]] bool healed() const { return healed_; }

    /// Returns the instance that has the role of primary with the highest term.
    [[nodiscard]] std::optional<instance_id> primary() const;

    standin::group_model &group() { return group_; }
    home::database_home &home(std::size_t n) { return *homes_[n].home_logic; }
    [[nodiscard]] bool alive(std::size_t n) const { return !homes_[n].paused; }

    /// Called with the name of each protocol step.
    std::function<void(const std::string &)> on_step;

    /// Violations that the site itself detects: exceeded slots or connections, a second answer to a request.
    std::vector<std::string> violations;

    /// Number of times that a request id ran upstream.
    std::map<std::string, int> executions;

private:
    struct event
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct fake_connection
    {
        instance_id instance = 0;
        std::uint64_t session = 0;
    };
    struct home_slot
    {
        std::unique_ptr<home::database_home> home_logic;
        std::uint64_t incarnation = 0; ///< incremented when the process is replaced
        bool paused = false;
        std::vector<std::function<void()>> deferred; ///< events that arrived while the home was paused
        std::map<home::connection_id, fake_connection> connections;
        std::map<home::request_key, answer_hook> waiting;
        std::set<instance_id> disconnected;
    };

    void start_home(std::size_t n);
    home::home_hooks hooks_of(std::size_t n);
    void at_home(std::size_t n, milliseconds delay, std::function<void(home_slot &)> what);
    void tick_home(std::size_t n, std::uint64_t incarnation);
    void open(std::size_t n, home::connection_id id, instance_id instance);
    void close(std::size_t n, home::connection_id id);
    void call(std::size_t n, const home::upstream_call &call);
    void execute(std::size_t n, const home::upstream_call &call, std::uint64_t session);
    void command(std::size_t n, const home::instance_command &command);
    void run_command(std::size_t n, home::command_result result, time_point until);
    void request_peer_view(std::size_t n, const inner::view_request &request);
    [[nodiscard]] bool reaches(std::size_t n, instance_id instance) const;
    void step(const std::string &name);

    site_options options_;
    standin::group_model group_;
    std::vector<home_slot> homes_;
    std::vector<bool> leaving_;
    std::priority_queue<event> events_;
    std::uint64_t next_order_ = 0;
    std::uint64_t next_session_ = 1;
    home::request_key next_key_ = 1;
    time_point start_;
    time_point now_;
    bool healed_ = false;
    int lose_answers_ = 0;
    int repeat_answers_ = 0;
    std::vector<milliseconds> delay_answers_;
    std::map<std::uint64_t, int> executing_; ///< running statements, by home and instance
};

/**
 * Returns the service document of the site's homes.
 */
std::shared_ptr<const document::service_document> test_document();

} // namespace fake
