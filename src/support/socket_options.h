// Options that every session's socket gets.

#pragma once

#include <chrono>

namespace baobabport::support {

/// Unacknowledged bytes end a connection after this time; below the instances' own limit of 3 s.
inline constexpr std::chrono::milliseconds peer_silence{1500};

/**
 * Sends small messages at once, and ends the connection when its peer stays silent on the network.
 */
void tune_socket(int socket);

/**
 * Makes the socket's close discard what its peer has not received yet.
 */
void discard_on_close(int socket);

} // namespace baobabport::support
