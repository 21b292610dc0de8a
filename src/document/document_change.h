// Decides how an operator's change meets the document that the store holds by then.

#pragma once

#include "document/document_envelope.h"

#include <cstdint>
#include <optional>
#include <string>

namespace baobabport::document {

/// A document as the store holds it; revision 0: there is none yet.
struct stored_document
{
    std::uint64_t revision = 0;
    document_envelope envelope;
};

enum class change_outcome : std::uint8_t
{
    write,           ///< compare-and-swap `value` against `expected_revision`
    already_applied, ///< an earlier try of this change was accepted
    unchanged,       ///< the document says so already
    conflict,        ///< somebody changed the same lines
    invalid,         ///< the text, or the merged text, is not a right document
};

struct change_decision
{
    change_outcome outcome = change_outcome::invalid;
    std::uint64_t expected_revision = 0;
    std::string value;  ///< of the envelope to write
    std::string reason; ///< for people; for a conflict, both sides
    bool merged = false;
};

/**
 * One change on its way into the store.
 *
 * The change keeps its id over all tries. A try whose answer was lost is resolved by looking for the id;
 * after a lost race the change is merged onto the new text, unless both touch the same lines.
 */
class document_change
{
public:
    /**
     * `seen` is the document that the operator changed; `text` is the whole text wanted.
     */
    document_change(std::string database, stored_document seen, std::string text, change_record record);

    /**
     * Returns what to do, given what the store holds now.
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
