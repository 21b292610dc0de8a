// Reads and validates the fields of a JSON object; reports an error as one line.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace baobabport::support {

/// The position of an error in a text, the value found there and the values allowed.
struct field_error
{
    std::string path; ///< for example `classes.booking.deadline_ms`
    std::string found;
    std::string allowed;
    int line = 0; ///< 1 is the first; 0 means unknown

    /// Returns the error as one line, without the file's name.
    [[nodiscard]] std::string text() const;
};

/// Inclusive bounds of an integer.
struct number_range
{
    std::int64_t min_value = 0;
    std::int64_t max_value = 0;
};

/**
 * Returns true if lists and objects are nested in the value beyond this many levels; copying or writing a
 * value recurses into each level.
 */
[[nodiscard]] bool is_nested_beyond(const nlohmann::json &value, std::size_t levels);

/**
 * Returns the object parsed from a JSON text with comments; on an error returns none and sets `last_error`.
 */
std::optional<nlohmann::json> parse_json_object(const std::string &text, field_error &last_error);

/**
 * Reads the fields of one object.
 *
 * A missing optional field leaves the target unchanged. `finish` reports fields that have not been read.
 * Only the first error of a text is kept.
 */
class json_fields
{
public:
    json_fields(const nlohmann::json &object, std::string path, std::optional<field_error> &error);

    void text(const char *name, std::string &out, bool required);
    void number(const char *name, std::uint32_t &out, number_range allowed, bool required = false);
    void milliseconds(const char *name, std::chrono::milliseconds &out, number_range allowed,
                      bool required = false);
    void flag(const char *name, bool &out);
    void texts(const char *name, std::vector<std::string> &out);

    /// Reads a field that holds one of the names; returns its index, or none if it is missing or invalid.
    std::optional<std::size_t> choice(const char *name, const std::vector<std::string> &names,
                                      bool required = false);

    using object_hook = std::function<void(json_fields &)>;

    /// Reads a nested object.
    void object(const char *name, const object_hook &read, bool required = false);

    /// Reads a list of objects.
    void objects(const char *name, const object_hook &read, bool required = false);

    using named_object_hook = std::function<void(const std::string &, json_fields &)>;

    /// Reads an object whose keys are arbitrary names and whose values are objects.
    void named_objects(const char *name, const named_object_hook &read, bool required = false);

    /// Marks all fields as read, so that `finish` accepts them without checks.
    void mark_all_read();

    /// Reports the first field that has not been read as an error.
    void finish();

    void fail(const std::string &name, std::string found, std::string allowed);
    [[nodiscard]] bool failed() const { return error_.has_value(); }

private:
    const nlohmann::json *find(const char *name, bool required, const char *allowed);
    [[nodiscard]] std::string path_of(const std::string &name) const;

    const nlohmann::json &object_;
    std::string path_;
    std::optional<field_error> &error_;
    std::set<std::string> read_names_;
};

/**
 * Returns the line of the text that contains the last key found of the dotted path, or the element of a list
 * where the path ends with one, for example `routes[2]`; 0 if none is found.
 */
int line_of(const std::string &text, const std::string &path);

} // namespace baobabport::support
