// The stored form of a document: the operators' text and its last changes.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::document {

/// One accepted change.
struct change_record
{
    std::string id; ///< set by the client; shows the outcome after a lost answer
    std::string by;
    std::string note;
    std::int64_t unix_seconds = 0;
};

/**
 * The value stored under a document's key.
 */
struct document_envelope
{
    std::string text;
    std::vector<change_record> changes; ///< newest last, at most `max_changes`

    static constexpr std::size_t max_changes = 50;

    [[nodiscard]] bool has_change(const std::string &id) const;
    void add(change_record change);
};

/**
 * Returns the envelope serialised for the store.
 */
std::string write_envelope(const document_envelope &envelope);

/**
 * Returns the envelope parsed from the store's value, or none if the value is malformed.
 */
std::optional<document_envelope> read_envelope(const std::string &value);

/**
 * Returns the key of a database's document in the store.
 */
std::string document_key(const std::string &database);

} // namespace baobabport::document
