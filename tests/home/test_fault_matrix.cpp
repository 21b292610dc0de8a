// Every fault at every step, singly, in pairs and with two homes at once.

#include "support/fault_matrix.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <random>

using namespace fake;

namespace {

/// Runs the cell and fails with what it broke.
void expect_kept(const matrix_cell &cell, std::size_t &cells)
{
    ++cells;
    const auto result = run_cell(cell);
    INFO(to_string(cell));
    CHECK(result.acknowledged > 0);
    for (const auto &it : result.violations)
        FAIL_CHECK(it);
}

} // namespace

TEST_CASE("one fault at each step breaks no promise")
{
    std::size_t cells = 0;
    for (const auto &step : all_steps()) {
        for (const auto &fault : all_faults())
            expect_kept({step, fault.name, {}, {}, 1}, cells);
    }
    std::cout << "fault matrix: " << cells << " cells with one fault\n";
}

TEST_CASE("one fault with two homes at once breaks no promise")
{
    std::size_t cells = 0;
    for (const auto &step : all_steps()) {
        for (const auto &fault : all_faults())
            expect_kept({step, fault.name, {}, {}, 2, true}, cells);
    }
    std::cout << "fault matrix: " << cells << " cells with two homes at once\n";
}

TEST_CASE("pairs of faults break no promise")
{
    std::size_t cells = 0;
    std::mt19937_64 random(20261204);
    const auto &steps = all_steps();
    for (const auto &first : all_faults()) {
        for (const auto &second : all_faults()) {
            const auto &step = steps[random() % steps.size()];
            const auto &other = steps[random() % steps.size()];
            expect_kept({step, first.name, other, second.name, random() % 1000, random() % 2 == 0}, cells);
        }
    }
    std::cout << "fault matrix: " << cells << " cells with two faults\n";
}

TEST_CASE("callers that roam between two homes read their writes, with and without tokens")
{
    std::size_t cells = 0;
    for (const auto &fault : all_faults()) {
        for (const auto &step : all_steps()) {
            for (const bool without_tokens : {false, true}) {
                matrix_cell cell{step, fault.name, {}, {}, 3, true};
                cell.without_tokens = without_tokens;
                cell.alternates_homes = true;
                expect_kept(cell, cells);
            }
        }
    }
    std::cout << "fault matrix: " << cells << " cells with roaming callers\n";
}
