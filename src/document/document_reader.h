// Reads a team's document and refuses one that would break a promise.

#pragma once

#include "document/service_document.h"

#include <optional>
#include <string>

namespace baobabport::document {

/**
 * Reads documents from JSON with comments.
 */
class document_reader
{
public:
    /**
     * Returns the document in the text, or none with the last reason: line, path, what was found and what
     * is allowed.
     */
    std::optional<service_document> read(const std::string &text);

    [[nodiscard]] const std::string &last_reason() const { return last_reason_; }

private:
    std::string last_reason_;
};

} // namespace baobabport::document
