// Deliberate defects, each of which the fault matrix must catch.

#include "support/fault_matrix.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace fake;

namespace {

struct mutant
{
    std::string name;
    home::home_defects home;
    failover::failover_defects failover;
};

std::vector<mutant> all_mutants()
{
    std::vector<mutant> out;
    const auto add = [&](const char *name, bool home::home_defects::*defect) {
        mutant it;
        it.name = name;
        it.home.*defect = true;
        out.push_back(it);
    };
    const auto add_failover = [&](const char *name, bool failover::failover_defects::*defect) {
        mutant it;
        it.name = name;
        it.failover.*defect = true;
        out.push_back(it);
    };
    add("acknowledge without replicas", &home::home_defects::acknowledge_at_once);
    add("send a not-repeatable write again", &home::home_defects::retry_after_send);
    add("keep a connection with a late answer", &home::home_defects::reuse_after_late);
    add("ignore the floor and the answer's position", &home::home_defects::ignore_floor);
    add("claim that a lost write did not run", &home::home_defects::lost_is_not_run);
    add("lend a transaction's connection", &home::home_defects::share_pinned);
    add("forget request ids", &home::home_defects::forget_request_ids);
    add("serve a read in doubt unconfirmed", &home::home_defects::unconfirmed_sure_reads);
    add("acknowledge writes that the new log lacks", &home::home_defects::acknowledge_lost_writes);
    add_failover("skip the fence", &failover::failover_defects::skip_fence);
    add_failover("take one fenced instance for enough", &failover::failover_defects::fence_one);
    add_failover("promote any fenced instance", &failover::failover_defects::promote_any);
    add_failover("reuse the term seen", &failover::failover_defects::reuse_term);
    add_failover("compare logs without terms", &failover::failover_defects::compare_offsets);
    for (auto &it : out) {
        // Either check alone hides the other's absence.
        if (it.home.ignore_floor)
            it.home.deliver_old_reads = true;
    }
    return out;
}

/// Returns the first cell that catches the mutant, or none.
std::optional<std::string> caught_by(const mutant &it)
{
    constexpr std::uint64_t seeds = 3;
    if (const auto rows = read_through_replaced_primary(it.home); rows.find("\"1\"") != std::string::npos)
        return "a read beside a replaced primary: it gave the old value";
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

TEST_CASE("a read beside a replaced primary does not give the old value")
{
    CHECK(read_through_replaced_primary({}).find("\"1\"") == std::string::npos);
}

TEST_CASE("each deliberate defect is caught", "[mutants]")
{
    std::size_t caught = 0;
    const auto mutants = all_mutants();
    for (const auto &it : mutants) {
        const auto how = caught_by(it);
        std::cout << "mutant \"" << it.name << "\": " << (how ? "caught by " + *how : "NOT CAUGHT") << '\n';
        CHECK(how);
        caught += how ? 1 : 0;
    }
    std::cout << "mutants: " << caught << " caught / " << mutants.size() << " in all\n";
}
