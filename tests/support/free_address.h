// Loopback addresses that no other test process uses.

#pragma once

#include "support/address.h"

namespace testing {

/**
 * Returns a loopback address that is specific to this process, with a port not returned before.
 *
 * Searching for a free port instead would be a race: another test could bind it first.
 */
baobabport::support::address free_address();

} // namespace testing
