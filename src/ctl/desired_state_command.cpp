#include "ctl/desired_state_command.h"

#include "platform/record_codec.h"
#include "settings/settings_reader.h"
#include "support/json_fields.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

namespace baobabport::ctl {

using directory::finding;
using directory::finding_level;
using nlohmann::json;

namespace {

constexpr std::array<const char *, 3> lists{"routes", "backends", "tenants"};

bool is_valid(const json &body)
{
    std::string reason;
    return platform::read_desired_state(body.dump(), reason).has_value();
}

/// Returns true if the word stands in the text, not only within a longer one.
bool names(const std::string &text, const std::string &word)
{
    const auto in_word = [&text](std::size_t at) {
        return at < text.size() &&
               (std::isalnum(static_cast<unsigned char>(text[at])) != 0 || text[at] == '_');
    };
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
        if ((at == 0 || !in_word(at - 1)) && !in_word(at + word.size()))
            return true;
    }
    return false;
}

/// Returns the field of the element that the reason names; empty: none.
std::string field_named(const json &element, const std::string &reason)
{
    std::string out;
    if (!element.is_object())
        return out;
    for (const auto &[name, value] : element.items()) {
        if (names(reason, name) && name.size() > out.size())
            out = name;
    }
    return out;
}

/// Returns the path of the first element of the list with which the otherwise valid state is refused.
std::string refused_element(json valid, const char *name, const json &list, const std::string &reason)
{
    if (!list.is_array())
        return name;
    std::size_t accepted = 0; // elements
    std::size_t refused = list.size();
    while (refused - accepted > 1) {
        const auto middle = accepted + (refused - accepted) / 2;
        valid[name] = json(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(middle));
        (is_valid(valid) ? accepted : refused) = middle;
    }
    const auto field = field_named(list[accepted], reason);
    return std::string(name) + '[' + std::to_string(accepted) + ']' + (field.empty() ? "" : '.' + field);
}

int line_of_byte(const std::string &text, std::size_t byte)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
    return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

int line_of(const std::string &text, const std::string &path)
{
    if (!path.empty())
        return support::line_of(text, path);
    try {
        const auto value = json::parse(text);
        return value.is_object() ? 0 : 1;
    } catch (const json::parse_error &ec) {
        return line_of_byte(text, ec.byte);
    } catch (const json::exception &) {
        return 0; // a number that is too large
    }
}

const char *word_of(finding_level level)
{
    return level == finding_level::error ? "error" : "warning";
}

const char *word_of(directory::change_kind kind)
{
    if (kind == directory::change_kind::added)
        return "added";
    return kind == directory::change_kind::removed ? "removed" : "changed";
}

json summary_of(const directory::desired_state &state)
{
    json out{
        {"version", state.version}, {"routes", state.routes.size()}, {"services", state.services.size()}};
    if (state.workspaces) {
        std::size_t keys = 0;
        for (const auto &it : *state.workspaces)
            keys += it.key_hashes.size();
        out["workspaces"] = state.workspaces->size();
        out["keys"] = keys;
    }
    return out;
}

} // namespace

finding locate_refusal(const std::string &value, const std::string &reason)
{
    finding out{finding_level::error, "", reason};
    const auto body = json::parse(value, nullptr, false);
    if (!body.is_object())
        return out;
    json valid{{"version", 1},
               {"routes", json::array()},
               {"backends", json::array()},
               {"limits", {{"tx_idle_ms", 1}}}};
    for (const auto *const name : {"version", "limits"}) {
        auto with = valid;
        with[name] = body.value(name, json());
        if (!is_valid(with)) {
            out.path = name;
            return out;
        }
    }
    for (const auto *const name : lists) {
        const bool required = valid.contains(name);
        if (!required && !body.contains(name))
            continue;
        auto with = valid;
        with[name] = body.value(name, json());
        if (!body.contains(name) || !is_valid(with)) {
            out.path = refused_element(valid, name, with[name], reason);
            return out;
        }
    }
    return out;
}

std::optional<std::string> desired_state_command::read(const std::string &file)
{
    auto out = settings::read_text_file(file);
    if (!out)
        err_ << file << ": cannot be read\n";
    return out;
}

int desired_state_command::check(const check_options &options)
{
    const auto text = read(options.file);
    const auto text_in_force =
        options.against.empty() ? std::optional<std::string>("") : read(options.against);
    if (!text || !text_in_force)
        return exit_usage;
    std::string reason;
    std::optional<directory::desired_state> in_force;
    if (!options.against.empty()) {
        in_force = platform::read_desired_state(*text_in_force, reason);
        if (!in_force) {
            err_ << options.against << ": " << reason << '\n';
            return exit_usage;
        }
    }
    const auto state = platform::read_desired_state(*text, reason);
    std::vector<finding> findings;
    json report{{"findings", json::array()}, {"changes", json::array()}};
    if (!state) {
        findings.push_back(locate_refusal(*text, reason));
    } else {
        report["state"] = summary_of(*state);
        findings = directory::check_desired_state(*state, options.assumed);
    }
    if (state && in_force) {
        if (auto refused = directory::check_version(*state, *in_force))
            findings.insert(findings.begin(), std::move(*refused));
        for (const auto &it : directory::compare_states(*state, *in_force))
            report["changes"].push_back(
                {{"change", word_of(it.kind)}, {"what", it.what}, {"name", it.name}, {"detail", it.detail}});
    }
    int out = exit_done;
    for (const auto &it : findings) {
        report["findings"].push_back({{"level", word_of(it.level)},
                                      {"line", line_of(*text, it.path)},
                                      {"path", it.path},
                                      {"text", it.text}});
        if (out != exit_refused)
            out = it.level == finding_level::error ? exit_refused : exit_doubtful;
    }
    if (options.as_json)
        out_ << report.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
    else
        print(options.file, report);
    return out;
}

void desired_state_command::print(const std::string &file, const json &report)
{
    constexpr int level_width = 8;
    constexpr int line_width = 6;
    std::size_t path_width = 0;
    for (const auto &it : report["findings"])
        path_width = std::max(path_width, it["path"].get_ref<const std::string &>().size());
    out_ << std::left;
    for (const auto &it : report["findings"])
        out_ << std::setw(level_width) << it["level"].get<std::string>() << "line " << std::setw(line_width)
             << it["line"].get<int>() << std::setw(static_cast<int>(path_width) + 2)
             << it["path"].get<std::string>() << it["text"].get<std::string>() << '\n';
    for (const auto &it : report["changes"]) {
        const auto detail = it["detail"].get<std::string>();
        out_ << std::setw(level_width) << it["change"].get<std::string>() << it["what"].get<std::string>()
             << ' ' << it["name"].get<std::string>() << (detail.empty() ? "" : ": ") << detail << '\n';
    }
    if (!report.contains("state")) {
        out_ << file << ": refused\n";
        return;
    }
    const auto &state = report["state"];
    out_ << file << ": version " << state["version"] << ", " << state["routes"] << " routes, "
         << state["services"] << " services";
    if (state.contains("workspaces"))
        out_ << ", " << state["workspaces"] << " workspaces with " << state["keys"] << " keys";
    out_ << ", " << report["findings"].size() << " findings\n";
}

} // namespace baobabport::ctl
