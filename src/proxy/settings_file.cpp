#include "proxy/settings_file.h"

#include "support/json_fields.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace baobabport::proxy {

namespace {

void read_address(support::json_fields &fields, const char *name, support::address &out)
{
    std::string text;
    fields.text(name, text, true);
    if (const auto at = support::parse_address(text))
        out = *at;
    else
        fields.fail(name, '"' + text + '"', "IP:PORT");
}

void read_optional_address(support::json_fields &fields, const char *name,
                           std::optional<support::address> &out)
{
    std::string text;
    fields.text(name, text, false);
    if (text.empty())
        return;
    out = support::parse_address(text);
    if (!out)
        fields.fail(name, '"' + text + '"', "IP:PORT or an empty text");
}

/// Reads a number given as a string. Returns none if the field is absent, or outside of the range, which is a
/// failure.
std::optional<double> read_quoted(support::json_fields &fields, const char *name, double least, double most,
                                  const std::string &expected)
{
    std::string text;
    fields.text(name, text, false);
    if (text.empty())
        return std::nullopt;
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec == std::errc() && end == text.data() + text.size() && value >= least && value <= most)
        return value;
    fields.fail(name, '"' + text + '"', expected);
    return std::nullopt;
}

/// Reads a duration: a number of units, which may have a fraction.
void read_time(support::json_fields &fields, const char *name, double unit_ms, milliseconds &out)
{
    constexpr double longest_ms = 3600.0 * 1000;
    if (const auto value = read_quoted(fields, name, 1 / unit_ms, longest_ms / unit_ms,
                                       "a time of at least 1 ms and at most an hour, as a number in quotes"))
        out = milliseconds(static_cast<std::int64_t>(*value * unit_ms));
}

/// Reads a number of at least 0.
void read_number(support::json_fields &fields, const char *name, double most, double &out)
{
    if (const auto value = read_quoted(fields, name, 0, most,
                                       "a number in quotes, from 0 to " + std::to_string(std::lround(most))))
        out = *value;
}

/// Reads a truth value given as a string.
void read_flag(support::json_fields &fields, const char *name, bool &out)
{
    std::string text;
    fields.text(name, text, false);
    if (text == "true" || text == "false")
        out = text == "true";
    else if (!text.empty())
        fields.fail(name, '"' + text + '"', "\"true\" or \"false\"");
}

/// Reads a size or count; a fraction is cut off.
void read_count(support::json_fields &fields, const char *name, std::uint64_t &out)
{
    constexpr double greatest = 1e9;
    if (const auto value = read_quoted(fields, name, 1, greatest, "a number of at least 1, in quotes"))
        out = static_cast<std::uint64_t>(*value);
}

} // namespace

std::optional<proxy_settings> read_proxy_settings(const std::string &text, std::string &reason)
{
    support::field_error syntax;
    auto object = support::parse_json_object(text, syntax);
    if (!object) {
        reason = syntax.text();
        return std::nullopt;
    }
    // The template writes an empty string for a value that the VM does not define.
    for (auto it = object->begin(); it != object->end();) {
        const bool left_out = it->is_string() && it->get_ref<const std::string &>().empty();
        it = left_out ? object->erase(it) : std::next(it);
    }
    std::optional<support::field_error> error;
    support::json_fields fields(*object, "", error);
    proxy_settings out;
    constexpr double ms = 1;
    constexpr double s = 1000;
    fields.text("process", out.process, true);
    fields.text("data_centre", out.data_centre, true);
    read_address(fields, "callers", out.callers);
    read_address(fields, "probe", out.probe);
    read_optional_address(fields, "admin", out.admin);
    read_optional_address(fields, "metrics", out.metrics);
    read_address(fields, "peers", out.peers);
    read_address(fields, "store", out.store);
    read_optional_address(fields, "promotion_orders", out.promotion_orders);
    read_time(fields, "shutdown_s", s, out.shutdown_time);
    read_time(fields, "configuration_bound_ms", ms, out.configuration_bound);
    read_time(fields, "drain_bound_ms", ms, out.drain_bound);
    read_time(fields, "shortest_store_lease_ms", ms, out.shortest_store_lease);
    read_time(fields, "revoke_ms", ms, out.revocation_bound);
    read_flag(fields, "strict_revocation", out.strict_revocation);
    constexpr double most_overage = 10;
    constexpr double most_slack = 1e6;
    read_time(fields, "quota_window_s", s, out.quotas.window);
    read_number(fields, "quota_overage", most_overage, out.quotas.overage);
    read_number(fields, "quota_slack", most_slack, out.quotas.slack);
    read_count(fields, "memory_mb", out.memory_mb);
    read_count(fields, "max_fds", out.max_fds);
    fields.finish();
    if (error) {
        error->line = support::line_of(text, error->path);
        reason = error->text();
        return std::nullopt;
    }
    return out;
}

std::optional<proxy_settings> load_proxy_settings(const std::string &path, std::string &reason)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        reason = path + ": cannot be read";
        return std::nullopt;
    }
    auto out = read_proxy_settings(text.str(), reason);
    if (!out)
        reason = path + ": " + reason;
    return out;
}

} // namespace baobabport::proxy
