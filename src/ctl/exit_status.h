// Exit statuses of `baobabport-ctl`.

#pragma once

namespace baobabport::ctl {

enum exit_status : int
{
    exit_done = 0,
    exit_refused = 1,  ///< invalid, or in conflict with another change; nothing was changed
    exit_usage = 2,    ///< bad usage or settings
    exit_store = 3,    ///< the store did not answer; nothing was accepted
    exit_unclear = 4,  ///< the store's answer was lost, and the outcome could not be determined
    exit_partial = 5,  ///< some processes did not answer
    exit_doubtful = 6, ///< valid, but with warnings
};

} // namespace baobabport::ctl
