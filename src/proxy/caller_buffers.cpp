// Charges, back-pressure and time-outs of a caller's connection.

#include "proxy/caller_buffers.h"

#include "support/boot_clock.h"
#include "support/socket_options.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <utility>

namespace baobabport::proxy {

namespace {

/// Bounds what the system keeps for a connection beside the process's own buffers. At 3 ms to the callers it
/// allows 170 Mbit/s for each.
constexpr int socket_buffer = 64 * 1024;

} // namespace

caller_buffers::caller_buffers(event_base *base, int socket, std::shared_ptr<client_limits> limits,
                               std::function<void()> shed)
    : socket_(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE)), limits_(std::move(limits)),
      charge_(limits_->account(), limits::client_class::callers, std::move(shed)),
      last_arrival_(support::boot_clock::now())
{
    support::tune_socket(socket);
    // Errors are ignored: without the option the system chooses the sizes.
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &socket_buffer, sizeof(socket_buffer));
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &socket_buffer, sizeof(socket_buffer));
}

caller_buffers::~caller_buffers()
{
    close();
}

void caller_buffers::start()
{
    const timeval unread{unread_timeout.count(), 0};
    bufferevent_setwatermark(socket_, EV_READ, 0, max_input);
    bufferevent_set_timeouts(socket_, nullptr, &unread);
    bufferevent_enable(socket_, EV_READ | EV_WRITE);
}

std::optional<std::string> caller_buffers::next_line()
{
    if (auto line = reader_.next())
        return line;
    auto *const input = bufferevent_get_input(socket_);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    reader_.append(bytes);
    return reader_.next();
}

bool caller_buffers::overflowed()
{
    if (!reader_.overflowed())
        return false;
    stop_reading();
    reader_.clear();
    auto *const input = bufferevent_get_input(socket_);
    evbuffer_drain(input, evbuffer_get_length(input));
    return true;
}

bool caller_buffers::output_is_full() const
{
    return evbuffer_get_length(bufferevent_get_output(socket_)) > max_output;
}

void caller_buffers::write(const std::string &bytes)
{
    if (socket_)
        bufferevent_write(socket_, bytes.data(), bytes.size());
}

void caller_buffers::stop_reading()
{
    stopped_ = true;
    incomplete_ = false;
    if (socket_)
        bufferevent_disable(socket_, EV_READ);
}

void caller_buffers::charge(std::size_t state_bytes, std::size_t statement_bytes, bool waits_for_message,
                            time_point now)
{
    if (!socket_)
        return;
    read_or_wait(waits_for_message, now);
    charge_.resize(session_size + evbuffer_get_length(bufferevent_get_input(socket_)) + reader_.held_bytes() +
                   evbuffer_get_length(bufferevent_get_output(socket_)) + state_bytes +
                   statement_bytes * copies_of_statement);
}

void caller_buffers::read_or_wait(bool waits_for_message, time_point now)
{
    if (stopped_)
        return;
    const auto held = reader_.held_bytes() + evbuffer_get_length(bufferevent_get_input(socket_));
    incomplete_ = waits_for_message && reader_.has_rest();
    const bool pressed = limits_->account()->under_pressure(limits::client_class::callers);
    has_turn_ = pressed && incomplete_ && held > small_size && charge_.take_turn();
    if (!has_turn_)
        charge_.release_turn();
    const bool suspend = pressed && held > small_size && !has_turn_;
    if (suspend == suspended_)
        return;
    suspended_ = suspend;
    last_arrival_ = now; // the caller could not go on before
    if (suspend) {
        limits_->record(limits::client_class::callers, "reading_suspended");
        bufferevent_disable(socket_, EV_READ);
    } else {
        bufferevent_enable(socket_, EV_READ);
    }
}

bool caller_buffers::has_room(std::size_t bytes) const
{
    return bytes <= small_size ||
           limits_->account()->fits(limits::client_class::callers, bytes * copies_of_statement);
}

const char *caller_buffers::expired(time_point now) const
{
    if (!incomplete_ || suspended_)
        return nullptr;
    if (now - last_arrival_ > message_timeout)
        return "message_incomplete";
    return has_turn_ && now - last_arrival_ > pressed_timeout ? "message_incomplete_under_pressure" : nullptr;
}

void caller_buffers::close()
{
    if (!socket_)
        return;
    bufferevent_free(std::exchange(socket_, nullptr));
    reader_.clear();
    charge_.release_turn();
    charge_.resize(0);
}

} // namespace baobabport::proxy
