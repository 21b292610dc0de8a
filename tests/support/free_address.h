// Addresses that no other test process uses.

#pragma once

#include "support/address.h"

namespace testing {

/**
 * Returns a loopback address of this process's own, with a port that it has not returned before.
 *
 * A port that was only found free may be taken by another test before it is bound.
 */
baobabport::support::address free_address();

} // namespace testing
