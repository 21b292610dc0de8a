#include "load/workload_plan.h"

#include "support/json_fields.h"

#include <nlohmann/json.hpp>

namespace baobabport::load {

using support::json_fields;

namespace {

constexpr std::int64_t hour_ms = 3600000;

void read_stream(json_fields &fields, request_stream &out)
{
    fields.text("name", out.name, true);
    fields.text("class", out.class_name, true);
    fields.text("statement", out.statement, true);
    fields.texts("databases", out.databases);
    fields.number("rate", out.rate, {1, 100000}, true);
    fields.milliseconds("from_ms", out.from, {0, hour_ms});
    fields.milliseconds("to_ms", out.to, {0, hour_ms});
    fields.number("keys", out.keys, {0, 10000000});
    fields.number("prefixes", out.sheet_keys, {1, 100000});
    fields.flag("write", out.write);
    fields.text("read_back_class", out.read_back_class, false);
    fields.milliseconds("deadline_ms", out.deadline, {10, hour_ms});
    fields.flag("new_sessions", out.new_sessions);
    if (!fields.failed() && out.databases.empty())
        fields.fail("databases", "no database", "at least one");
}

} // namespace

std::optional<workload_plan> workload_reader::read(const std::string &text)
{
    support::field_error syntax;
    const auto object = support::parse_json_object(text, syntax);
    if (!object) {
        last_reason_ = syntax.text();
        return std::nullopt;
    }
    workload_plan out;
    std::optional<support::field_error> error;
    json_fields fields(*object, "", error);
    fields.milliseconds("duration_ms", out.duration, {100, hour_ms}, true);
    fields.number("seed", out.seed, {0, 4294967295});
    fields.objects(
        "streams", [&](json_fields &nested) { read_stream(nested, out.streams.emplace_back()); }, true);
    fields.objects("faults", [&](json_fields &nested) {
        auto &it = out.faults.emplace_back();
        nested.milliseconds("at_ms", it.at, {0, hour_ms}, true);
        nested.text("database", it.database, true);
        nested.text("control", it.control, true);
    });
    fields.finish();
    if (!error)
        return out;
    error->line = support::line_of(text, error->path);
    last_reason_ = error->text();
    return std::nullopt;
}

} // namespace baobabport::load
