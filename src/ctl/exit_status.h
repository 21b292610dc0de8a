// Exit statuses of the command line.

#pragma once

namespace baobabport::ctl {

enum exit_status : int
{
    exit_done = 0,
    exit_refused = 1, ///< checked and found wrong, or a conflict; nothing was changed
    exit_usage = 2,   ///< bad usage or settings
    exit_store = 3,   ///< the store gave no answer; nothing was accepted
    exit_unclear = 4, ///< the store's answer was lost and its fate could not be learned
    exit_partial = 5, ///< some processes gave no answer
};

} // namespace baobabport::ctl
