// The document in force at one process, which never goes back.

#pragma once

#include "document/service_document.h"

#include <chrono>
#include <memory>
#include <string>

namespace baobabport::document {

using time_point = std::chrono::steady_clock::time_point;

/**
 * Takes documents from the store, from peers and from anywhere, and keeps the one of the highest revision.
 *
 * Invariant: the revision in force never falls.
 */
class document_cache
{
public:
    /**
     * Takes in a value as the store holds it; returns true if it is in force now.
     *
     * A lower or equal revision, a text that cannot be read and a document of another database are passed
     * over; the last reason says which.
     */
    bool offer(const std::string &database, std::uint64_t revision, const std::string &value, time_point now);

    /// The document in force, or null.
    [[nodiscard]] const std::shared_ptr<const service_document> &current() const { return current_; }

    /// The document's value as the store holds it, for peers.
    [[nodiscard]] const std::string &value() const { return value_; }

    [[nodiscard]] std::uint64_t revision() const { return current_ ? current_->revision : 0; }
    [[nodiscard]] time_point since() const { return since_; }
    [[nodiscard]] const std::string &last_reason() const { return last_reason_; }

    bool apply_lower_revisions = false; ///< a defect that the tests switch on to see that it is caught

private:
    std::shared_ptr<const service_document> current_;
    std::string value_;
    time_point since_;
    std::string last_reason_;
};

} // namespace baobabport::document
