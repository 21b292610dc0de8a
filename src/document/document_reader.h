// Parses a team's document and rejects one that would violate a guarantee.

#pragma once

#include "document/service_document.h"

#include <optional>
#include <string>

namespace baobabport::document {

/**
 * Parses documents from JSON with comments.
 */
class document_reader
{
public:
    /**
     * Returns the parsed document, or none; then `last_reason()` has the line, the path, the value found and
     * the values allowed.
     */
    std::optional<service_document> read(const std::string &text);

    [[nodiscard]] const std::string &last_reason() const { return last_reason_; }

private:
    std::string last_reason_;
};

} // namespace baobabport::document
