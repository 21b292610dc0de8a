// Injected defects, each of which the fault matrix must detect.

#include "support/fault_matrix.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace fake;

namespace {

struct injected_defect
{
    std::string name;
    home::home_defects home;
    failover::failover_defects failover;
};

std::vector<injected_defect> all_injected_defects()
{
    std::vector<injected_defect> out;
    const auto add = [&](const char *name, bool home::home_defects::*defect) {
        injected_defect it;
        it.name = name;
        it.home.*defect = true;
        out.push_back(it);
    };
    const auto add_failover = [&](const char *name, bool failover::failover_defects::*defect) {
        injected_defect it;
        it.name = name;
        it.failover.*defect = true;
        out.push_back(it);
    };
    add("acknowledge without replicas", &home::home_defects::acknowledge_without_majority);
    add("retry a write that is not repeatable", &home::home_defects::resend_unrepeatable_writes);
    add("keep a connection with a late answer", &home::home_defects::reuse_after_late_answer);
    add("ignore the floor and the answer's position", &home::home_defects::ignore_floor);
    add("report a lost write as not run", &home::home_defects::report_lost_as_not_run);
    add("share a transaction's connection", &home::home_defects::share_pinned_connections);
    add("omit request ids", &home::home_defects::omit_request_ids);
    add("serve a linearizable read unconfirmed", &home::home_defects::skip_read_confirmation);
    add("acknowledge writes that the new log lacks", &home::home_defects::acknowledge_lost_writes);
    add_failover("skip the fence", &failover::failover_defects::skip_fence);
    add_failover("promote after fencing only one instance", &failover::failover_defects::fence_one);
    add_failover("promote any fenced instance", &failover::failover_defects::promote_any);
    add_failover("reuse the term seen", &failover::failover_defects::reuse_term);
    add_failover("compare logs without terms", &failover::failover_defects::compare_offsets);
    for (auto &it : out) {
        // The floor and the answer's position are checked separately. Either check alone prevents stale
        // reads, so the defect disables both.
        if (it.home.ignore_floor)
            it.home.deliver_stale_reads = true;
    }
    return out;
}

/// Returns the first cell that detects the defect, or none.
std::optional<std::string> find_catching_cell(const injected_defect &it)
{
    constexpr std::uint64_t seeds = 3;
    if (const auto rows = read_through_replaced_primary(it.home); rows.find("\"1\"") != std::string::npos)
        return "a read from a replaced primary returned the old value";
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const int callers : {0, 1, 2}) {
            for (const auto &step : all_steps()) {
                for (const auto &fault : all_faults()) {
                    matrix_cell cell{step, fault.name, {}, {}, seed, callers > 0};
                    cell.alternates_homes = callers == 2;
                    cell.without_tokens = callers == 2;
                    const auto result = run_cell(cell, it.home, it.failover);
                    if (!result.violations.empty())
                        return to_string(cell) + ": " + result.violations.front();
                }
            }
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("a read from a replaced primary does not return the old value")
{
    CHECK(read_through_replaced_primary({}).find("\"1\"") == std::string::npos);
}

TEST_CASE("each injected defect is detected", "[mutants]")
{
    std::size_t caught = 0;
    const auto defects = all_injected_defects();
    for (const auto &it : defects) {
        const auto detection = find_catching_cell(it);
        std::cout << "mutant \"" << it.name
                  << "\": " << (detection ? "caught by " + *detection : "NOT CAUGHT") << '\n';
        CHECK(detection);
        caught += detection ? 1 : 0;
    }
    std::cout << "mutants: " << caught << " caught / " << defects.size() << " in all\n";
}
