#include "document/document_cache.h"

#include "document/document_envelope.h"
#include "document/document_reader.h"

namespace baobabport::document {

bool document_cache::offer(const std::string &database, std::uint64_t revision, const std::string &value,
                           time_point now)
{
    if (revision <= this->revision() && !apply_lower_revisions) {
        last_reason_ = "not_newer";
        return false;
    }
    const auto envelope = read_envelope(value);
    if (!envelope) {
        last_reason_ = "not_an_envelope";
        return false;
    }
    document_reader reader;
    auto document = reader.read(envelope->text);
    if (!document) {
        last_reason_ = reader.last_reason();
        return false;
    }
    if (document->database != database) {
        last_reason_ = "a document of " + document->database;
        return false;
    }
    document->revision = revision;
    for (const auto &it : envelope->changes)
        document->change_ids.push_back(it.id);
    current_ = std::make_shared<const service_document>(std::move(*document));
    value_ = value;
    since_ = now;
    last_reason_.clear();
    return true;
}

} // namespace baobabport::document
