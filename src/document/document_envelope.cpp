#include "document/document_envelope.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace baobabport::document {

using nlohmann::json;

bool document_envelope::has_change(const std::string &id) const
{
    return std::any_of(changes.begin(), changes.end(), [&](const auto &it) { return it.id == id; });
}

void document_envelope::add(change_record change)
{
    changes.push_back(std::move(change));
    if (changes.size() > max_changes)
        changes.erase(changes.begin());
}

std::string write_envelope(const document_envelope &envelope)
{
    json changes = json::array();
    for (const auto &it : envelope.changes)
        changes.push_back({{"id", it.id}, {"by", it.by}, {"note", it.note}, {"time", it.unix_seconds}});
    return json{{"text", envelope.text}, {"changes", changes}}.dump(-1, ' ', false,
                                                                    json::error_handler_t::replace);
}

std::optional<document_envelope> read_envelope(const std::string &value)
{
    try {
        const auto fields = json::parse(value);
        document_envelope out;
        out.text = fields.at("text").get<std::string>();
        for (const auto &it : fields.at("changes"))
            out.changes.push_back({it.at("id").get<std::string>(), it.at("by").get<std::string>(),
                                   it.at("note").get<std::string>(), it.at("time").get<std::int64_t>()});
        return out;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string document_key(const std::string &database)
{
    return "documents/" + database;
}

} // namespace baobabport::document
