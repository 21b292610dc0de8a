// The messages between the system's own processes.

#pragma once

#include "consistency/position.h"
#include "consistency/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::inner {

/// Raised when a message changes in a way that an older process cannot read.
inline constexpr std::uint32_t protocol_version = 1;

/// What a statement does to its transaction.
enum class transaction_step : std::uint8_t
{
    none, ///< a statement by itself
    begin,
    statement,
    commit,
    rollback,
};

/**
 * A caller's request on its way from an entry to a home.
 */
struct statement_request
{
    std::string database;
    std::string class_name;
    std::string statement;
    std::string arguments;  ///< JSON text
    std::string request_id; ///< names the request for all its tries; empty: none
    std::string caller;     ///< the session's identity; empty: none
    std::chrono::milliseconds time_left{0};
    /// From the caller's token; none: a caller that named itself came without its token.
    std::optional<consistency::position> floor;
    bool in_doubt = false; ///< an earlier write of the session may have run
    transaction_step step = transaction_step::none;
    std::string transaction; ///< id given by the answer to `begin`
    std::uint32_t rank = 0;  ///< the home's rank in the entry's view, 0 first
};

/**
 * A home's answer to a `statement_request`.
 *
 * Invariant: `verdict::ran` comes with the position its effect or view is part of.
 */
struct statement_answer
{
    consistency::verdict outcome = consistency::verdict::unknown;
    std::string reason; ///< machine-readable; empty when it ran
    std::string rows;   ///< JSON text
    consistency::position at;
    std::string served_by; ///< instance
    bool by_replica = false;
    std::chrono::milliseconds retry_after{0};
    std::string transaction;
    std::uint64_t document_revision = 0;
    bool settles_doubt = false; ///< the read has seen the outcome of all earlier writes of the session
    bool use_next_rank = false; ///< this pooler cannot serve the database now, another may
};

/// Asks a pooler how it sees a database group.
struct view_request
{
    std::string database;
    std::uint32_t primary = 0;
};

/// How long ago the asked pooler last heard the primary; none: not lately.
struct view_answer
{
    bool primary_reachable = false;
    std::uint64_t highest_term = 0;
};

/// Asks for a database's document if the asked process has a later revision.
struct document_request
{
    std::string database;
    std::uint64_t known_revision = 0;
};

/// A document as the store holds it; revision 0: nothing later known.
struct document_answer
{
    std::uint64_t revision = 0;
    std::string text;
};

/// First message on a connection.
struct hello
{
    std::uint32_t version = protocol_version;
    std::string process;
    std::string nonce;
    std::string proof; ///< HMAC over the other side's nonce and this side's name
};

} // namespace baobabport::inner
