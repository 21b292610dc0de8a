// The token that carries a session's floors from answer to next request.

#pragma once

#include "consistency/position.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabport::consistency {

/// What a session has seen of one database.
struct session_floor
{
    std::string database;
    position floor;
    bool in_doubt = false; ///< a write of the session has an unknown outcome
};

/**
 * A session: its identity and its floors.
 *
 * Invariant: a floor never falls.
 */
class session_token
{
public:
    session_token() = default;
    explicit session_token(std::string id) : id_(std::move(id)) {}

    [[nodiscard]] const std::string &id() const { return id_; }
    [[nodiscard]] const std::vector<session_floor> &floors() const { return floors_; }

    /**
     * Returns what the session has seen of the database, or null.
     */
    [[nodiscard]] const session_floor *find(std::string_view database) const;

    void raise(std::string_view database, position floor);
    void set_in_doubt(std::string_view database, bool in_doubt);

private:
    session_floor &floor_of(std::string_view database);

    std::string id_;
    std::vector<session_floor> floors_;
};

/**
 * Writes and reads tokens, authenticated with a key.
 *
 * A second key is accepted, not used for writing, while keys change.
 */
class token_codec
{
public:
    explicit token_codec(std::string key, std::string former_key = {});

    /**
     * Returns the token as text for a header: base64 of CBOR and its HMAC-SHA256.
     */
    [[nodiscard]] std::string write(const session_token &token) const;

    /**
     * Returns the token, or none if it is forged, cut, oversized or of another key; the reason is kept.
     */
    [[nodiscard]] std::optional<session_token> read(std::string_view text);

    [[nodiscard]] std::string_view last_reason() const { return last_reason_; }

    static constexpr std::size_t max_text_size = 16384; ///< bytes

private:
    std::string key_;
    std::string former_key_;
    std::string_view last_reason_;
};

} // namespace baobabport::consistency
