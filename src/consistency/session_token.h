// The token in which a caller returns a session's floors with its next request.

#pragma once

#include "consistency/position.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabport::consistency {

/// The state of one database that a session has observed.
struct session_floor
{
    std::string database;
    position floor;        ///< the minimum log position that the session's reads must see
    bool in_doubt = false; ///< a write of the session has an unknown outcome
};

/**
 * A session: its identity and its floors.
 *
 * Invariant: a floor never decreases.
 */
class session_token
{
public:
    session_token() = default;
    explicit session_token(std::string id) : id_(std::move(id)) {}

    [[nodiscard]] const std::string &id() const { return id_; }
    [[nodiscard]] const std::vector<session_floor> &floors() const { return floors_; }

    /**
     * Returns the session's state of the database, or null.
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
 * Writes and reads tokens that are authenticated with a key.
 *
 * During a change of keys, tokens of the former key are accepted as well, but not written.
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
     * Returns the token, or none if it is forged, truncated, oversized or of another key; `last_reason` then
     * returns the reason.
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
