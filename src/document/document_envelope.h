// How a document lies in the store: the operators' text and the last changes made to it.

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
    std::string id; ///< made by who applied it; tells a lost answer's fate
    std::string by;
    std::string note;
    std::int64_t unix_seconds = 0;
};

/**
 * The value under a document's key.
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
 * Returns the envelope as the store's value.
 */
std::string write_envelope(const document_envelope &envelope);

/**
 * Returns the envelope in the store's value, or none if it is not one.
 */
std::optional<document_envelope> read_envelope(const std::string &value);

/**
 * Returns the store's key of a database's document.
 */
std::string document_key(const std::string &database);

} // namespace baobabport::document
