#include "document/document_reader.h"

#include "support/json_fields.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace baobabport::document {

using support::field_error;
using support::json_fields;

namespace {

constexpr std::int64_t minute_ms = 60000;
constexpr std::int64_t hour_ms = 60 * minute_ms;

void check_guarantees(json_fields &fields, const class_policy &it)
{
    const bool write = it.access == access_kind::write;
    if (write && it.staleness.count() > 0)
        fields.fail("staleness_ms", std::to_string(it.staleness.count()),
                    "0: a write has read-your-writes and cannot be old");
    if (write && it.shareable)
        fields.fail("shareable", "true", "false: each write needs a run of its own");
    if (it.share_for.count() > 0 && !it.shareable)
        fields.fail("share_for_ms", std::to_string(it.share_for.count()), "0 unless the class is shareable");
    if (it.share_for > it.staleness)
        fields.fail("share_for_ms", std::to_string(it.share_for.count()),
                    "at most staleness_ms, " + std::to_string(it.staleness.count()));
    if (write && !it.repeatable && it.retries > 0)
        fields.fail("retries", std::to_string(it.retries),
                    "0: a request that must not be repeated is not retried");
    if (!write && it.durability == durability_kind::primary)
        fields.fail("durability", "\"primary\"", "only on a write");
}

void read_class(const std::string &name, json_fields &fields, class_policy &out)
{
    out.name = name;
    if (const auto n = fields.choice("access", {"read", "write"}, true))
        out.access = static_cast<access_kind>(*n);
    if (const auto n = fields.choice("priority", {"first", "normal", "background"}))
        out.priority = static_cast<priority_kind>(*n);
    fields.number("weight", out.weight, {1, 1000});
    fields.milliseconds("deadline_ms", out.deadline, {10, hour_ms}, true);
    fields.milliseconds("staleness_ms", out.staleness, {0, hour_ms});
    fields.milliseconds("share_for_ms", out.share_for, {0, hour_ms});
    fields.flag("repeatable", out.repeatable);
    fields.number("retries", out.retries, {0, 10});
    fields.flag("shareable", out.shareable);
    fields.number("max_slots", out.max_slots, {0, 1000});
    if (const auto n = fields.choice("durability", {"majority", "primary"}))
        out.durability = static_cast<durability_kind>(*n);
    fields.flag("shed", out.shed);
    check_guarantees(fields, out);
}

void read_failover(json_fields &fields, failover_policy &out)
{
    fields.milliseconds("probe_interval_ms", out.probe_interval, {10, 5000});
    fields.milliseconds("refused_after_ms", out.refused_after, {10, 10000});
    fields.milliseconds("silent_after_ms", out.silent_after, {50, 10000});
    fields.milliseconds("command_timeout_ms", out.command_timeout, {20, 5000});
    if (out.silent_after < out.probe_interval)
        fields.fail("silent_after_ms", std::to_string(out.silent_after.count()),
                    "at least probe_interval_ms, " + std::to_string(out.probe_interval.count()));
}

void read_limits(json_fields &fields, limit_policy &out)
{
    fields.number("queue_length", out.queue_length, {1, 100000});
    fields.number("queue_bytes", out.queue_bytes, {1024, 256LL * 1024 * 1024});
    fields.number("connections", out.connections, {0, 10000});
    fields.number("long_slots", out.long_slots, {1, 1000});
    fields.milliseconds("long_after_ms", out.long_after, {1, minute_ms});
    fields.milliseconds("ageing_ms", out.ageing, {1, minute_ms});
    fields.milliseconds("transaction_idle_ms", out.transaction_idle, {100, hour_ms});
    fields.number("retry_percent", out.retry_percent, {0, 100});
}

void read_override(json_fields &fields, const service_document &document, override_rule &out)
{
    fields.text("shed_class", out.class_name, true);
    std::uint32_t until = 0;
    fields.number("until_unix_seconds", until, {0, 4294967295}, true);
    out.until_unix_seconds = until;
    if (!fields.failed() && !document.find(out.class_name))
        fields.fail("shed_class", '"' + out.class_name + '"', "a class of this document");
}

} // namespace

std::optional<service_document> document_reader::read(const std::string &text)
{
    field_error syntax;
    const auto object = support::parse_json_object(text, syntax);
    if (!object) {
        last_reason_ = syntax.text();
        return std::nullopt;
    }
    service_document out;
    out.text = text;
    std::optional<field_error> error;
    json_fields fields(*object, "", error);
    fields.text("database", out.database, true);
    fields.named_objects(
        "classes",
        [&](const std::string &name, json_fields &nested) {
            read_class(name, nested, out.classes.emplace_back());
        },
        true);
    if (!fields.failed() && out.classes.empty())
        fields.fail("classes", "no class", "at least one class");
    fields.object("failover", [&](json_fields &nested) { read_failover(nested, out.failover); });
    fields.object("limits", [&](json_fields &nested) { read_limits(nested, out.limits); });
    fields.objects("overrides",
                   [&](json_fields &nested) { read_override(nested, out, out.overrides.emplace_back()); });
    fields.finish();
    if (!error)
        return out;
    error->line = support::line_of(text, error->path);
    last_reason_ = error->text();
    return std::nullopt;
}

} // namespace baobabport::document
