#include "settings/settings_reader.h"

#include "failover/term_number.h"
#include "support/json_fields.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace baobabport::settings {

using support::field_error;
using support::json_fields;

namespace {

constexpr std::size_t min_key_length = 16;

void read_address(json_fields &fields, const char *name, support::address &out)
{
    std::string text;
    fields.text(name, text, true);
    const auto parsed = support::parse_address(text);
    if (parsed)
        out = *parsed;
    else
        fields.fail(name, '"' + text + '"', "IP:PORT with an IPv4 address");
}

void read_key(json_fields &fields, const char *name, std::string &out, bool required)
{
    fields.text(name, out, required);
    if (!out.empty() && out.size() < min_key_length)
        fields.fail(name, "a key of " + std::to_string(out.size()) + " bytes",
                    "at least " + std::to_string(min_key_length) + " bytes");
}

void read_pooler(json_fields &fields, pooler_config &out)
{
    fields.text("name", out.name, true);
    fields.number("vm_number", out.vm_number, {1, failover::max_vm_number}, true);
    fields.text("data_centre", out.data_centre, true);
    read_address(fields, "inner", out.inner);
}

void read_database(json_fields &fields, database_config &out)
{
    fields.text("name", out.name, true);
    fields.number("slots", out.slots, {1, 1000});
    fields.number("connections", out.connections, {8, 10000});
    fields.objects(
        "instances",
        [&](json_fields &nested) {
            instance_config it;
            nested.text("name", it.name, true);
            nested.text("data_centre", it.data_centre, true);
            read_address(nested, "address", it.at);
            out.instances.push_back(it);
        },
        true);
    if (!fields.failed() && out.instances.empty())
        fields.fail("instances", "an empty list", "at least one instance");
}

void read_keys(json_fields &fields, key_ring &out)
{
    read_key(fields, "inner", out.inner, true);
    read_key(fields, "former_inner", out.former_inner, false);
    read_key(fields, "session", out.session, false);
    read_key(fields, "former_session", out.former_session, false);
    read_key(fields, "operators", out.operators, true);
    read_key(fields, "former_operators", out.former_operators, false);
}

void read_limits(json_fields &fields, entry_limits &out)
{
    fields.number("body_bytes", out.body_bytes, {1024, 1024LL * 1024});
    fields.number("in_progress", out.in_progress, {1, 1000000});
    fields.number("in_progress_per_database", out.in_progress_per_database, {1, 1000000});
}

template <typename Element>
bool has_unique_names(const std::vector<Element> &elements)
{
    std::set<std::string> names;
    for (const auto &it : elements)
        names.insert(it.name);
    return names.size() == elements.size();
}

bool has_unique_vm_numbers(const std::vector<pooler_config> &poolers)
{
    std::set<std::uint32_t> numbers;
    for (const auto &it : poolers)
        numbers.insert(it.vm_number);
    return numbers.size() == poolers.size();
}

/// Reads the fields of all programs, since a tool accepts the settings of any program.
void read_tool_part(json_fields &fields, process_settings &out)
{
    std::string ignored;
    fields.text("callers", ignored, false);
    fields.text("inner", ignored, false);
    fields.number("vm_number", out.vm_number, {1, failover::max_vm_number});
}

void read_program_part(json_fields &fields, program_kind program, process_settings &out)
{
    fields.object(
        "keys", [&](json_fields &nested) { read_keys(nested, out.keys); }, true);
    fields.object("limits", [&](json_fields &nested) { read_limits(nested, out.limits); });
    if (program == program_kind::entry) {
        out.callers.emplace();
        read_address(fields, "callers", *out.callers);
        fields.number("vm_number", out.vm_number, {1, failover::max_vm_number});
        if (!fields.failed() && out.keys.session.empty())
            fields.fail("keys.session", "nothing", "a key; an entry signs session tokens");
    }
    if (program == program_kind::tool)
        read_tool_part(fields, out);
    if (program == program_kind::pooler) {
        out.inner.emplace();
        read_address(fields, "inner", *out.inner);
        fields.number("vm_number", out.vm_number, {1, failover::max_vm_number}, true);
    }
}

} // namespace

std::optional<process_settings> settings_reader::read(const std::string &text)
{
    field_error syntax;
    const auto object = support::parse_json_object(text, syntax);
    if (!object) {
        last_reason_ = syntax.text();
        return std::nullopt;
    }
    process_settings out;
    std::optional<field_error> error;
    json_fields fields(*object, "", error);
    fields.text("process", out.process, true);
    fields.text("data_centre", out.data_centre, true);
    read_address(fields, "operators", out.operators);
    read_address(fields, "store", out.store);
    read_program_part(fields, program_, out);
    fields.objects(
        "poolers", [&](json_fields &nested) { read_pooler(nested, out.poolers.emplace_back()); }, true);
    fields.objects(
        "databases", [&](json_fields &nested) { read_database(nested, out.databases.emplace_back()); }, true);
    fields.objects("processes", [&](json_fields &nested) {
        auto &it = out.processes.emplace_back();
        nested.text("name", it.name, true);
        read_address(nested, "operators", it.operators);
    });
    fields.milliseconds("stop_within_ms", out.stop_within, {100, 600000});
    if (const auto policy = fields.choice("policy", {"session", "plain"}))
        out.policy = *policy == 0 ? home::policy_kind::session : home::policy_kind::plain;
    fields.finish();
    if (!error && !has_unique_names(out.poolers))
        fields.fail("poolers", "a duplicate name", "a unique name for each pooler");
    // Terms and ids of transactions contain the number of the VM that made them.
    if (!error && !has_unique_vm_numbers(out.poolers))
        fields.fail("poolers", "a duplicate vm_number", "a unique vm_number for each pooler");
    if (!error && !has_unique_names(out.databases))
        fields.fail("databases", "a duplicate name", "a unique name for each database");
    if (!error)
        return out;
    error->line = support::line_of(text, error->path);
    last_reason_ = error->text();
    return std::nullopt;
}

std::optional<process_settings> settings_reader::read_file(const std::string &path)
{
    const auto text = read_text_file(path);
    if (!text) {
        last_reason_ = path + ": cannot be read";
        return std::nullopt;
    }
    auto out = read(*text);
    if (!out)
        last_reason_ = path + ": " + last_reason_;
    return out;
}

std::optional<std::string> read_text_file(const std::string &path)
{
    std::ifstream in(path);
    if (!in)
        return std::nullopt;
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace baobabport::settings
