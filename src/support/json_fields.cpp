#include "support/json_fields.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>

namespace baobabport::support {

using nlohmann::json;

namespace {

constexpr std::size_t max_quoted_size = 60;

/// Levels of a value that are quoted: writing it recurses into each one.
constexpr std::size_t max_quoted_levels = 16;

std::string abbreviated(const json &value)
{
    if (is_nested_beyond(value, max_quoted_levels))
        return "a deeply nested value";
    auto out = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (out.size() > max_quoted_size)
        out = out.substr(0, max_quoted_size) + "...";
    return out;
}

std::string join(const std::vector<std::string> &names)
{
    std::string out;
    for (const auto &it : names)
        out += (out.empty() ? "" : ", ") + it;
    return out;
}

int line_at(const std::string &text, std::size_t offset)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
    return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

/// Returns the end of the string literal that begins at the offset.
std::size_t end_of_string(const std::string &text, std::size_t at)
{
    for (++at; at < text.size() && text[at] != '"'; ++at) {
        if (text[at] == '\\')
            ++at;
    }
    return at;
}

/// Returns the offset of the next field with this name, or `npos`; a value of the same text is none.
std::size_t find_field(const std::string &text, const std::string &name, std::size_t from)
{
    const auto key = '"' + name + '"';
    for (auto at = text.find(key, from); at != std::string::npos; at = text.find(key, at + 1)) {
        const auto next = text.find_first_not_of(" \t\r\n", at + key.size());
        if (next != std::string::npos && text[next] == ':')
            return at;
    }
    return std::string::npos;
}

/// Returns the offset of an element of the list that begins next; none if it is shorter.
std::optional<std::size_t> find_element(const std::string &text, std::size_t index, std::size_t from)
{
    auto at = text.find('[', from);
    if (at == std::string::npos)
        return std::nullopt;
    int depth = 0;
    for (; at < text.size(); ++at) {
        const char it = text[at];
        if (depth == 1 && index == 0 && it != '[' && it != ',' && it != ' ' && it != '\t' && it != '\r' &&
            it != '\n')
            return it == ']' ? std::nullopt : std::optional(at);
        if (it == '"')
            at = end_of_string(text, at);
        else if (it == '[' || it == '{')
            ++depth;
        else if ((it == ']' || it == '}') && --depth == 0)
            return std::nullopt;
        else if (it == ',' && depth == 1)
            --index;
    }
    return std::nullopt;
}

} // namespace

bool is_nested_beyond(const json &value, std::size_t levels)
{
    if (!value.is_structured())
        return false;
    return levels == 0 || std::any_of(value.begin(), value.end(),
                                      [levels](const auto &it) { return is_nested_beyond(it, levels - 1); });
}

std::string field_error::text() const
{
    std::string out;
    if (line > 0)
        out += "line " + std::to_string(line) + ": ";
    if (!path.empty())
        out += path + ": ";
    return out + "found " + found + ", allowed: " + allowed;
}

std::optional<json> parse_json_object(const std::string &text, field_error &last_error)
{
    try {
        auto out = json::parse(text, nullptr, true, true);
        if (out.is_object())
            return out;
        last_error = {"", abbreviated(out), "a JSON object", 1};
    } catch (const json::parse_error &ec) {
        last_error = {"", "text that is not JSON at byte " + std::to_string(ec.byte), "JSON, with comments",
                      line_at(text, ec.byte)};
    }
    return std::nullopt;
}

json_fields::json_fields(const json &object, std::string path, std::optional<field_error> &error)
    : object_(object), path_(std::move(path)), error_(error)
{
}

std::string json_fields::path_of(const std::string &name) const
{
    return path_.empty() ? name : path_ + '.' + name;
}

void json_fields::fail(const std::string &name, std::string found, std::string allowed)
{
    if (!error_)
        error_ = field_error{path_of(name), std::move(found), std::move(allowed), 0};
}

const json *json_fields::find(const char *name, bool required, const char *allowed)
{
    read_names_.insert(name);
    const auto it = object_.find(name);
    if (it != object_.end())
        return &*it;
    if (required)
        fail(name, "nothing", allowed);
    return nullptr;
}

void json_fields::text(const char *name, std::string &out, bool required)
{
    const auto *it = find(name, required, "a text");
    if (!it)
        return;
    if (!it->is_string() || it->get_ref<const std::string &>().empty()) {
        fail(name, abbreviated(*it), "a text that is not empty");
        return;
    }
    out = it->get<std::string>();
}

void json_fields::number(const char *name, std::uint32_t &out, number_range allowed, bool required)
{
    const auto range = "a whole number from " + std::to_string(allowed.min_value) + " to " +
                       std::to_string(allowed.max_value);
    const auto *it = find(name, required, range.c_str());
    if (!it)
        return;
    const bool is_valid = it->is_number_integer() &&
                          (it->is_number_unsigned() || it->get<std::int64_t>() >= 0) &&
                          it->get<std::uint64_t>() >= static_cast<std::uint64_t>(allowed.min_value) &&
                          it->get<std::uint64_t>() <= static_cast<std::uint64_t>(allowed.max_value);
    if (!is_valid) {
        fail(name, abbreviated(*it), range);
        return;
    }
    out = it->get<std::uint32_t>();
}

void json_fields::milliseconds(const char *name, std::chrono::milliseconds &out, number_range allowed,
                               bool required)
{
    auto n = static_cast<std::uint32_t>(out.count());
    number(name, n, allowed, required);
    out = std::chrono::milliseconds(n);
}

void json_fields::flag(const char *name, bool &out)
{
    const auto *it = find(name, false, "true or false");
    if (!it)
        return;
    if (!it->is_boolean()) {
        fail(name, abbreviated(*it), "true or false");
        return;
    }
    out = it->get<bool>();
}

void json_fields::texts(const char *name, std::vector<std::string> &out)
{
    const auto *it = find(name, false, "a list of texts");
    if (!it)
        return;
    const bool is_valid = it->is_array() && std::all_of(it->begin(), it->end(), [](const auto &element) {
                              return element.is_string();
                          });
    if (!is_valid) {
        fail(name, abbreviated(*it), "a list of texts");
        return;
    }
    out = it->get<std::vector<std::string>>();
}

std::optional<std::size_t> json_fields::choice(const char *name, const std::vector<std::string> &names,
                                               bool required)
{
    const auto *it = find(name, required, join(names).c_str());
    if (!it)
        return std::nullopt;
    const auto found =
        it->is_string() ? std::find(names.begin(), names.end(), it->get<std::string>()) : names.end();
    if (found == names.end()) {
        fail(name, abbreviated(*it), "one of " + join(names));
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - names.begin());
}

void json_fields::object(const char *name, const object_hook &read, bool required)
{
    const auto *it = find(name, required, "an object");
    if (!it)
        return;
    if (!it->is_object()) {
        fail(name, abbreviated(*it), "an object");
        return;
    }
    json_fields nested(*it, path_of(name), error_);
    read(nested);
    nested.finish();
}

void json_fields::objects(const char *name, const object_hook &read, bool required)
{
    const auto *it = find(name, required, "a list of objects");
    if (!it)
        return;
    if (!it->is_array()) {
        fail(name, abbreviated(*it), "a list of objects");
        return;
    }
    for (std::size_t n = 0; n < it->size(); ++n) {
        const auto path = std::string(name) + '[' + std::to_string(n) + ']';
        if (!(*it)[n].is_object()) {
            fail(path, abbreviated((*it)[n]), "an object");
            return;
        }
        json_fields nested((*it)[n], path_of(path), error_);
        read(nested);
        nested.finish();
    }
}

void json_fields::named_objects(const char *name, const named_object_hook &read, bool required)
{
    const auto *it = find(name, required, "an object of named objects");
    if (!it)
        return;
    if (!it->is_object()) {
        fail(name, abbreviated(*it), "an object of named objects");
        return;
    }
    for (const auto &[key, value] : it->items()) {
        const auto path = std::string(name) + '.' + key;
        if (!value.is_object()) {
            fail(path, abbreviated(value), "an object");
            return;
        }
        json_fields nested(value, path_of(path), error_);
        read(key, nested);
        nested.finish();
    }
}

void json_fields::mark_all_read()
{
    for (const auto &[key, value] : object_.items())
        read_names_.insert(key);
}

void json_fields::finish()
{
    for (const auto &[key, value] : object_.items()) {
        if (read_names_.contains(key))
            continue;
        const std::vector<std::string> known(read_names_.begin(), read_names_.end());
        fail(key, "an unknown field", known.empty() ? "nothing here" : join(known));
        return;
    }
}

int line_of(const std::string &text, const std::string &path)
{
    std::size_t at = 0;
    std::istringstream parts(path);
    std::string part;
    bool found_any = false;
    while (std::getline(parts, part, '.')) {
        const auto index = part.find('[');
        const auto next = find_field(text, part.substr(0, index), at);
        if (next == std::string::npos)
            break;
        at = next + 1;
        found_any = true;
        if (index != std::string::npos)
            at = find_element(text, std::strtoul(part.c_str() + index + 1, nullptr, 10), at).value_or(at);
    }
    return found_any ? line_at(text, at) : 0;
}

} // namespace baobabport::support
