// The active document of one process, whose revision never decreases.

#pragma once

#include "document/service_document.h"

#include <chrono>
#include <memory>
#include <string>

namespace baobabport::document {

using time_point = std::chrono::steady_clock::time_point;

/**
 * Accepts documents from the store, from peers and from other sources, and keeps the highest revision.
 *
 * Invariant: the active revision never decreases.
 */
class document_cache
{
public:
    /**
     * Offers a value in the form of the store; returns true if it became the active document.
     *
     * A lower or equal revision, an unreadable text and a document of another database are ignored;
     * `last_reason()` has the reason.
     */
    bool offer(const std::string &database, std::uint64_t revision, const std::string &value, time_point now);

    /// Returns the active document, or null.
    [[nodiscard]] const std::shared_ptr<const service_document> &current() const { return current_; }

    /// Returns the document's value in the form of the store, for peers.
    [[nodiscard]] const std::string &value() const { return value_; }

    [[nodiscard]] std::uint64_t revision() const { return current_ ? current_->revision : 0; }
    [[nodiscard]] time_point since() const { return since_; }
    [[nodiscard]] const std::string &last_reason() const { return last_reason_; }

    bool apply_lower_revisions = false; ///< injected defect, enabled only by tests

private:
    std::shared_ptr<const service_document> current_;
    std::string value_;
    time_point since_;
    std::string last_reason_;
};

} // namespace baobabport::document
