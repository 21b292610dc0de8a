// The fault matrix: runs every fault at every protocol step, in virtual time.

#pragma once

#include "support/fake_site.h"
#include "support/workload.h"

#include <string>
#include <vector>

namespace fake {

/// A fault that can begin at any time.
struct fault
{
    std::string name;
    std::function<void(fake_site &)> begin;
};

/// One cell of the matrix: one or two faults, each with the step at which it begins, and a seed.
struct matrix_cell
{
    std::string step;
    std::string fault;
    std::string second_step; ///< empty if there is only one fault
    std::string second_fault;
    std::uint64_t seed = 1;
    bool split_homes = false;
    bool without_tokens = false;
    bool alternates_homes = false;
};

/// The result of running a cell.
struct cell_result
{
    std::vector<std::string> violations;
    std::size_t acknowledged = 0;
    bool fault_happened = false;
    milliseconds longest_gap{0};
};

const std::vector<fault> &all_faults();
const std::vector<std::string> &all_steps();

/**
 * Runs the cell and returns every violation of the guarantees.
 */
cell_result run_cell(const matrix_cell &cell, const home::home_defects &home_defects = {},
                     const failover::failover_defects &failover_defects = {});

/**
 * Partitions one home together with the old primary, while the other home promotes a new primary and
 * acknowledges a write there; then a caller without its session token reads through the first home. Returns
 * the rows, or an empty string if the read was not served.
 */
std::string read_through_replaced_primary(const home::home_defects &defects);

std::string to_string(const matrix_cell &cell);

} // namespace fake
