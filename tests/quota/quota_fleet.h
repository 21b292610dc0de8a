// A simulated fleet of VMs that share quotas: the decisions of `quota::quota_account`, with virtual time and
// messages that are delayed or lost.

#pragma once

#include "quota/quota_account.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace testing {

namespace directory = baobabport::directory;
namespace quota = baobabport::quota;

using quota::time_point;
using std::chrono::milliseconds;

/// Operations of one workspace, as callers requested them.
struct operation_record
{
    time_point at;
    bool admitted = false;
};

class quota_fleet
{
public:
    quota_fleet(std::size_t vms, std::uint32_t seed, std::vector<directory::workspace> workspaces);

    /// Adds demand: operations per second at one VM, from now on.
    void set_demand(std::size_t vm, const std::string &workspace, double per_s);
    void run_for(milliseconds time);

    void kill(std::size_t vm);
    void restart(std::size_t vm); ///< also one that never ran
    void suspend(std::size_t vm, milliseconds time);
    /// Separates the VMs from the others, and from the leader unless VM 0 is among them.
    void isolate(const std::vector<std::size_t> &vms, milliseconds time);

    double loss = 0; ///< probability that a message is lost
    std::uint32_t recorded_size = 0;

    [[nodiscard]] const std::vector<operation_record> &operations(const std::string &workspace)
    {
        return operations_[workspace];
    }
    /// Returns the share of the operations since then that were refused.
    [[nodiscard]] double refused_share(const std::string &workspace, time_point since);
    [[nodiscard]] std::size_t admitted(const std::string &workspace, time_point since);
    /// Returns the share that a single bucket, full at that time, would have refused.
    [[nodiscard]] double refused_share_of_one_bucket(const std::string &workspace, time_point since);
    /// Returns the most operations admitted in any window of that length.
    [[nodiscard]] std::size_t most_admitted(const std::string &workspace, milliseconds window);
    [[nodiscard]] time_point now() const { return now_; }
    std::mt19937 &random() { return random_; }
    [[nodiscard]] std::uint64_t messages() const { return messages_; }

private:
    struct simulated_vm
    {
        std::unique_ptr<quota::quota_account> account;
        std::vector<std::size_t> members; ///< as it knows them
        std::map<std::size_t, time_point> avoided_until;
        std::map<std::string, double> demand;
        std::uint64_t demand_version = 0;
        std::uint64_t incarnation = 0;
        time_point suspended_until;
        int side = 0;                              ///< VMs of different sides cannot reach each other
        time_point seen_at;                        ///< by the leader
        std::map<std::size_t, int> unacknowledged; ///< deposits by VM
    };
    using answer_hook = std::function<void()>;

    void at(time_point when, std::function<void()> action);
    /// Runs the action at the VM after a message's delay, or never.
    void deliver(std::size_t from, std::size_t to, const std::function<void()> &action);
    void run_at(std::size_t vm, std::uint64_t incarnation, const std::function<void()> &action);
    [[nodiscard]] std::vector<std::size_t> ranks(std::size_t vm, std::size_t group);
    void request(std::size_t vm, const std::string &workspace);
    void withdraw(std::size_t vm, const std::string &workspace, std::size_t attempt);
    void deposit(std::size_t vm, std::uint64_t incarnation);
    void arrive(std::size_t vm, const std::string &workspace, std::uint64_t version);
    void update_lists();
    void record(const std::string &workspace, bool admitted)
    {
        operations_[workspace].push_back({now_, admitted});
    }

    std::mt19937 random_;
    std::vector<directory::workspace> workspaces_;
    std::vector<simulated_vm> vms_;
    std::multimap<time_point, std::function<void()>> events_;
    std::map<std::string, std::vector<operation_record>> operations_;
    time_point now_{milliseconds(1000000)};
    quota::fleet_size leader_sizes_{time_point()};
    std::uint64_t messages_ = 0;
};

} // namespace testing
