// Decides how an operator's change is applied to the document that the store holds now.

#pragma once

#include "document/document_envelope.h"

#include <cstdint>
#include <optional>
#include <string>

namespace baobabport::document {

/// A document in the store; revision 0: there is none yet.
struct stored_document
{
    std::uint64_t revision = 0;
    document_envelope envelope;
};

enum class change_outcome : std::uint8_t
{
    write,           ///< compare-and-swap `value` against `expected_revision`
    already_applied, ///< an earlier attempt at this change was accepted
    unchanged,       ///< the document already has this text
    conflict,        ///< another operator changed the same lines
    invalid,         ///< the text, or the merged text, is not a valid document
};

struct change_decision
{
    change_outcome outcome = change_outcome::invalid;
    std::uint64_t expected_revision = 0;
    std::string value;  ///< of the envelope to write
    std::string reason; ///< human-readable; for a conflict, both diffs
    bool merged = false;
};

/**
 * One change to be written to the store.
 *
 * All attempts use the same change id. If an attempt's answer was lost, the id in the stored document shows
 * whether it was accepted. If the compare-and-swap failed, the change is merged into the new text, unless
 * both change the same lines.
 */
class document_change
{
public:
    /**
     * Creates the change from `seen`, the document that the operator edited, to `text`, the whole new text.
     */
    document_change(std::string database, stored_document seen, std::string text, change_record record);

    /**
     * Returns the next step, given the store's present document.
     */
    [[nodiscard]] change_decision decide(const stored_document &present) const;

private:
    [[nodiscard]] std::optional<std::string> find_problem(const std::string &text) const;

    std::string database_;
    stored_document seen_;
    std::string text_;
    change_record record_;
};

} // namespace baobabport::document
