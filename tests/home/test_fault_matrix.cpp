// Injects every fault at every step: single faults, pairs of faults, and with two concurrent homes.

#include "support/fault_matrix.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <random>

using namespace fake;

namespace {

/// Runs the cell and fails with the violated guarantees.
void expect_no_violation(const matrix_cell &cell, std::size_t &cells)
{
    ++cells;
    const auto result = run_cell(cell);
    INFO(to_string(cell));
    CHECK(result.acknowledged > 0);
    for (const auto &it : result.violations)
        FAIL_CHECK(it);
}

} // namespace

TEST_CASE("one fault at each step violates no guarantee")
{
    std::size_t cells = 0;
    for (const auto &step : all_steps()) {
        for (const auto &fault : all_faults())
            expect_no_violation({step, fault.name, {}, {}, 1}, cells);
    }
    std::cout << "fault matrix: " << cells << " cells with one fault\n";
}

TEST_CASE("one fault with two concurrent homes violates no guarantee")
{
    std::size_t cells = 0;
    for (const auto &step : all_steps()) {
        for (const auto &fault : all_faults())
            expect_no_violation({step, fault.name, {}, {}, 2, true}, cells);
    }
    std::cout << "fault matrix: " << cells << " cells with two concurrent homes\n";
}

TEST_CASE("pairs of faults violate no guarantee")
{
    std::size_t cells = 0;
    std::mt19937_64 random(20261204);
    const auto &steps = all_steps();
    for (const auto &first : all_faults()) {
        for (const auto &second : all_faults()) {
            const auto &step = steps[random() % steps.size()];
            const auto &other = steps[random() % steps.size()];
            expect_no_violation({step, first.name, other, second.name, random() % 1000, random() % 2 == 0},
                                cells);
        }
    }
    std::cout << "fault matrix: " << cells << " cells with two faults\n";
}

TEST_CASE("callers that alternate between two homes read their writes, with and without tokens")
{
    std::size_t cells = 0;
    for (const auto &fault : all_faults()) {
        for (const auto &step : all_steps()) {
            for (const bool without_tokens : {false, true}) {
                matrix_cell cell{step, fault.name, {}, {}, 3, true};
                cell.without_tokens = without_tokens;
                cell.alternates_homes = true;
                expect_no_violation(cell, cells);
            }
        }
    }
    std::cout << "fault matrix: " << cells << " cells with callers that alternate between homes\n";
}
