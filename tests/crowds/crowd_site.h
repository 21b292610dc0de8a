// Test site of the crowds: real proxy processes with low limits, and the stand-ins for their environment.

#pragma once

#include "child_process.h"
#include "crowd.h"
#include "http/http_client.h"
#include "inner/stream_connection.h"
#include "kv_service.h"
#include "line_group.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace testing {

/// The limits that the processes get in their settings. They are also the bounds that the tests check.
struct vm_limits
{
    std::uint64_t memory_mb = 48;
    std::uint64_t max_fds = 400;
};

/// A proxy process and its addresses.
struct crowd_process
{
    std::string name;
    baobabport::support::address callers;
    baobabport::support::address probe;
    baobabport::support::address admin;
    baobabport::support::address metrics;
    baobabport::support::address peers;
    std::unique_ptr<soak::child_process> process;
    std::size_t most_descriptors = 0; ///< that were seen open
};

/**
 * Starts processes in front of a group `db` of the instances `a` (primary), `b` and `c`, with the routes
 * `main` (primary) and `old` (bounded).
 *
 * Nothing that it checks depends on the speed of the machine: its times only end a wait.
 */
class crowd_site
{
public:
    explicit crowd_site(std::size_t processes = 1);
    ~crowd_site();
    crowd_site(const crowd_site &) = delete;
    crowd_site &operator=(const crowd_site &) = delete;

    /// Runs the loop until the condition holds; returns false if it does not within the time.
    bool run_until(const std::function<bool()> &condition, std::chrono::milliseconds limit);

    /// Runs the loop until the crowd has sent all it can, but at most for a few seconds.
    void let_send(crowd &it);

    /// Runs the loop until each member that is connected has read this many prompts, but for 8 s at most.
    void let_finish(crowd &it, std::size_t prompts);

    /// Runs the loop for two seconds, so that the processes read what has been sent.
    void let_settle();

    /// Lets each member of the crowd read the given number of bytes at a time, for two seconds.
    void let_read_slowly(crowd &it, std::size_t bytes);

    /// Fails the test unless all processes live, within their bounds of memory and descriptors, and answer an
    /// ordinary request. An ordinary caller that is refused, or whose connection is closed, tries again.
    void check_bounds(const std::string &what);

    /// Returns the key with which processes prove that they belong to the system.
    [[nodiscard]] std::string peer_key() const;

    [[nodiscard]] const crowd_process &first() const { return processes_.front(); }
    [[nodiscard]] const crowd_process &at(std::size_t number) const { return processes_[number]; }

    event_base *base;
    standin::line_group group;
    vm_limits limits;

private:
    void configure();
    void start(crowd_process &it);
    [[nodiscard]] bool is_ready(const crowd_process &it);
    [[nodiscard]] bool serves(const crowd_process &it);
    void note_descriptors();

    std::unique_ptr<standin::kv_service> store_;
    std::string folder_;
    std::vector<crowd_process> processes_;
    std::uint64_t last_id_ = 0;
};

} // namespace testing
