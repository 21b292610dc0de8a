#include "document/document_change.h"

#include "document/document_reader.h"
#include "document/text_merge.h"

namespace baobabport::document {

document_change::document_change(std::string database, stored_document seen, std::string text,
                                 change_record record)
    : database_(std::move(database)), seen_(std::move(seen)), text_(std::move(text)),
      record_(std::move(record))
{
}

std::optional<std::string> document_change::find_problem(const std::string &text) const
{
    document_reader reader;
    const auto document = reader.read(text);
    if (!document)
        return reader.last_reason();
    if (document->database != database_)
        return "database: found " + document->database + ", allowed: " + database_;
    return std::nullopt;
}

change_decision document_change::decide(const stored_document &present) const
{
    change_decision out;
    if (present.envelope.has_change(record_.id)) {
        out.outcome = change_outcome::already_applied;
        return out;
    }
    if (const auto problem = find_problem(text_)) {
        out.reason = *problem;
        return out;
    }
    auto text = text_;
    if (present.revision != seen_.revision) {
        const auto merged = merge_texts(seen_.envelope.text, text_, present.envelope.text);
        if (!merged) {
            out.outcome = change_outcome::conflict;
            out.reason = "your change:\n" + diff_texts(seen_.envelope.text, text_) + "changed meanwhile:\n" +
                         diff_texts(seen_.envelope.text, present.envelope.text);
            return out;
        }
        text = *merged;
        out.merged = true;
        if (const auto problem = find_problem(text)) {
            out.reason = "merged with the change made meanwhile: " + *problem;
            return out;
        }
    }
    if (present.revision > 0 && text == present.envelope.text) {
        out.outcome = change_outcome::unchanged;
        return out;
    }
    auto envelope = present.envelope;
    envelope.text = text;
    envelope.add(record_);
    out.outcome = change_outcome::write;
    out.expected_revision = present.revision;
    out.value = write_envelope(envelope);
    return out;
}

} // namespace baobabport::document
