// The messages that the system's processes exchange.

#pragma once

#include "consistency/position.h"
#include "consistency/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::inner {

/// Must be raised when a message changes in a way that an older process cannot read.
inline constexpr std::uint32_t protocol_version = 1;

/// The effect of a request on its transaction.
enum class transaction_step : std::uint8_t
{
    none, ///< a statement outside any transaction
    begin,
    statement,
    commit,
    rollback,
};

/**
 * A caller's request, as an entry forwards it to a home.
 */
struct statement_request
{
    std::string database;
    std::string class_name;
    std::string statement;
    std::string arguments;  ///< JSON text
    std::string request_id; ///< the same for all attempts of the request; empty: none
    std::string caller;     ///< the session's identity; empty: none
    std::chrono::milliseconds time_left{0};
    /// From the caller's session token; none: the caller gave its name but no token.
    std::optional<consistency::position> floor;
    bool in_doubt = false; ///< the session has a write of unknown outcome
    transaction_step step = transaction_step::none;
    std::string transaction; ///< the id from the answer to `begin`; empty: none
    std::uint32_t rank = 0;  ///< the home's rank in the entry's order; 0 is the first
};

/**
 * A home's answer to a `statement_request`.
 *
 * Invariant: with `verdict::ran`, `at` is the log position that includes the statement's effect or that its
 * read has seen.
 */
struct statement_answer
{
    consistency::verdict outcome = consistency::verdict::unknown;
    std::string reason; ///< machine-readable; empty if it ran
    std::string rows;   ///< JSON text
    consistency::position at;
    std::string served_by; ///< instance
    bool by_replica = false;
    std::chrono::milliseconds retry_after{0};
    std::string transaction;
    std::uint64_t document_revision = 0;
    bool settles_doubt = false; ///< the read includes the outcome of all earlier writes of the session
    bool use_next_rank = false; ///< this pooler cannot serve the database now, but another may
};

/// Requests from a pooler whether it reaches a group's primary.
struct view_request
{
    std::string database;
    std::uint32_t primary = 0;
};

/// Whether the pooler reaches the primary and a majority of the group, and the highest term that it has seen.
struct view_answer
{
    bool primary_reachable = false;
    std::uint64_t highest_term = 0;
};

/// Requests a database's document if the receiver has a later revision than `known_revision`.
struct document_request
{
    std::string database;
    std::uint64_t known_revision = 0;
};

/// A document as it is stored; revision 0: the sender has no later one.
struct document_answer
{
    std::uint64_t revision = 0;
    std::string text;
};

/// The first message in each direction of a connection; also carries the client's proof.
struct hello
{
    std::uint32_t version = protocol_version;
    std::string process;
    std::string nonce;
    std::string proof; ///< HMAC over the other side's nonce and this side's role
};

} // namespace baobabport::inner
