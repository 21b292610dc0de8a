// The calls and commands of a home to the instances of a database group, and their results.

#pragma once

#include "consistency/instance_status.h"
#include "inner/messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace baobabport::home {

using consistency::instance_id;
using connection_id = std::uint64_t;
using call_id = std::uint64_t;
using request_key = std::uint64_t;

/// A statement sent over one connection of an instance.
struct upstream_call
{
    connection_id connection = 0;
    call_id call = 0;
    instance_id instance = 0;
    std::uint64_t term = 0; ///< the instance refuses a write of another term
    bool write = false;
    inner::transaction_step step = inner::transaction_step::none;
    std::string statement;
    std::string arguments;  ///< JSON text
    std::string request_id; ///< stored with the write to prevent a second run; empty: none
};

enum class call_outcome : std::uint8_t
{
    ran,     ///< it ran; the result contains rows and position
    refused, ///< the instance reports that it did not run
    lost,    ///< the connection ended after the statement may have been sent
};

/// An instance's answer to an `upstream_call`.
struct upstream_result
{
    call_id call = 0;
    call_outcome outcome = call_outcome::lost;
    std::string reason;
    std::string rows; ///< JSON text
    consistency::position at;
    bool repeated = false; ///< the request id ran before; rows and position are of its first run
};

enum class command_kind : std::uint8_t
{
    status,
    fence,
    promote
};

/// A control request to an instance.
struct instance_command
{
    command_kind kind = command_kind::status;
    instance_id instance = 0;
    std::uint64_t term = 0;         ///< for fence and promote
    consistency::position wait_for; ///< status: answer when the log has this, or at the timeout
    std::chrono::milliseconds timeout{0};
    std::uint64_t id = 0;
};

enum class command_outcome : std::uint8_t
{
    answered,
    connection_broken, ///< the connection was refused, reset or closed before the answer was complete
    timed_out,         ///< no answer in time, or one that cannot be used
};

/// An instance's answer to an `instance_command`.
struct command_result
{
    instance_command command;
    command_outcome outcome = command_outcome::timed_out;
    bool accepted = false; ///< fence and promote: the instance accepted the term
    consistency::instance_status status;
    std::chrono::steady_clock::time_point requested_at;
};

/// The record that is published after a change of primary.
struct primary_record
{
    std::string database;
    std::uint64_t term = 0;
    instance_id primary = 0;
};

/**
 * The outputs of a home. Each hook returns at once; outcomes are reported by calls on the home.
 */
struct home_hooks
{
    std::function<void(const upstream_call &)> call;
    std::function<void(connection_id, instance_id)> open_connection;
    std::function<void(connection_id)> close_connection;
    std::function<void(const instance_command &)> command;
    std::function<void(request_key, const inner::statement_answer &)> answer;
    std::function<void(const inner::view_request &)> request_peer_view;
    std::function<void(const primary_record &)> publish;
};

} // namespace baobabport::home
