#include "ctl/document_commands.h"

#include "document/document_reader.h"
#include "document/text_merge.h"
#include "platform/metadata_client.h"
#include "settings/settings_reader.h"
#include "support/keys.h"

#include <chrono>
#include <ctime>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

namespace baobabport::ctl {

using document::change_outcome;
using nlohmann::json;
using platform::call_outcome;

namespace {

constexpr std::chrono::milliseconds store_timeout{2000};
constexpr int max_tries = 6;
constexpr std::size_t change_id_bytes = 9;

std::string time_text(std::int64_t unix_seconds)
{
    const std::time_t time = unix_seconds;
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return out.str();
}

} // namespace

document_commands::document_commands(const settings::process_settings &settings, std::ostream &out,
                                     std::ostream &err)
    : settings_(settings), out_(out), err_(err)
{
}

int document_commands::check(const std::string &file)
{
    const auto text = settings::read_text_file(file);
    if (!text) {
        err_ << file << ": cannot be read\n";
        return exit_usage;
    }
    document::document_reader reader;
    const auto document = reader.read(*text);
    if (!document) {
        err_ << file << ": " << reader.last_reason() << '\n';
        return exit_refused;
    }
    out_ << file << ": valid document for " << document->database << " with " << document->classes.size()
         << " classes\n";
    return exit_done;
}

document_commands::read_result document_commands::read(const std::string &database)
{
    read_result out;
    const auto call = platform::read_call(document::document_key(database), store_timeout);
    const auto reply = platform::read_reply(client_.call(settings_.store, call));
    out.answered = reply.outcome == call_outcome::done || reply.outcome == call_outcome::missing;
    if (reply.outcome != call_outcome::done || reply.items.empty())
        return out;
    const auto &item = reply.items.front();
    const auto envelope = document::read_envelope(item.value);
    if (!envelope) {
        out.answered = false;
        return out;
    }
    out.document = {item.revision, *envelope};
    return out;
}

int document_commands::report_no_answer()
{
    err_ << "NOT ACCEPTED: the store did not answer. Nothing was changed; the document in effect stays.\n"
         << "next: try again; `baobabport-ctl status` shows the revisions in effect\n";
    return exit_store;
}

int document_commands::show(const std::string &database)
{
    const auto current = read(database);
    if (!current.answered)
        return report_no_answer();
    if (current.document.revision == 0) {
        err_ << "no document for " << database << " yet\n";
        return exit_refused;
    }
    out_ << "// revision " << current.document.revision << '\n' << current.document.envelope.text;
    return exit_done;
}

int document_commands::diff(const std::string &database, const std::string &file)
{
    const auto text = settings::read_text_file(file);
    if (!text) {
        err_ << file << ": cannot be read\n";
        return exit_usage;
    }
    const auto current = read(database);
    if (!current.answered)
        return report_no_answer();
    out_ << document::diff_texts(current.document.envelope.text, *text);
    return exit_done;
}

int document_commands::history(const std::string &database)
{
    const auto current = read(database);
    if (!current.answered)
        return report_no_answer();
    const auto &changes = current.document.envelope.changes;
    for (auto it = changes.rbegin(); it != changes.rend(); ++it)
        out_ << time_text(it->unix_seconds) << "  " << it->id << "  " << it->by << "  " << it->note << '\n';
    return exit_done;
}

int document_commands::apply(const apply_options &options)
{
    const auto text = settings::read_text_file(options.file);
    if (!text) {
        err_ << options.file << ": cannot be read\n";
        return exit_usage;
    }
    if (check(options.file) != exit_done)
        return exit_refused;
    const auto current = read(options.database);
    if (!current.answered)
        return report_no_answer();
    if (options.expected_revision && *options.expected_revision != current.document.revision) {
        err_ << "NOT ACCEPTED: the store holds revision " << current.document.revision << ", not "
             << *options.expected_revision << ":\n"
             << document::diff_texts(current.document.envelope.text, *text)
             << "next: merge the change made meanwhile into your file, then apply it again\n";
        return exit_refused;
    }
    document::change_record record;
    record.id = support::to_base64(support::random_bytes(change_id_bytes));
    record.by = options.by;
    record.note = options.note;
    record.unix_seconds =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    const document::document_change change(options.database, current.document, *text, record);
    return run_change(options.database, change, current.document);
}

int document_commands::run_change(const std::string &database, const document::document_change &change,
                                  const document::stored_document &first)
{
    auto current = first;
    bool may_have_written = false;
    for (int n = 0; n < max_tries; ++n) {
        const auto decision = change.decide(current);
        switch (decision.outcome) {
        case change_outcome::already_applied:
            out_ << "ACCEPTED as revision " << current.revision << " or before\n";
            return exit_done;
        case change_outcome::unchanged:
            out_ << "nothing to change: revision " << current.revision << " already has this content\n";
            return exit_done;
        case change_outcome::conflict:
            err_ << "NOT ACCEPTED: somebody else changed the same lines.\n" << decision.reason;
            return exit_refused;
        case change_outcome::invalid:
            err_ << "NOT ACCEPTED: " << decision.reason << '\n';
            return exit_refused;
        case change_outcome::write:
            break;
        }
        std::uint64_t revision = 0;
        const auto end = write(database, decision, revision);
        if (end == write_result::accepted) {
            out_ << "ACCEPTED as revision " << revision
                 << (decision.merged ? ", merged with a change made meanwhile\n" : "\n");
            return exit_done;
        }
        may_have_written = may_have_written || end == write_result::unknown;
        // The answer may have been lost, or another change came first: the stored document shows which.
        const auto reread = read(database);
        if (reread.answered)
            current = reread.document;
        else if (may_have_written)
            break;
        else
            return report_no_answer();
    }
    err_ << "UNCLEAR: the store's answer was lost, and the document cannot be read back now.\n"
         << "next: `baobabport-ctl history " << database << "` shows whether the change was accepted;\n"
         << "applying the same file again is safe\n";
    return exit_unclear;
}

document_commands::write_result document_commands::write(const std::string &database,
                                                         const document::change_decision &decision,
                                                         std::uint64_t &revision)
{
    const auto key = document::document_key(database);
    const platform::key_change change{{{key, decision.expected_revision}}, {{key, decision.value, 0}}, {}};
    const auto reply =
        platform::read_reply(client_.call(settings_.store, platform::change_call(change, store_timeout)));
    if (reply.outcome == call_outcome::conflict)
        return write_result::revision_mismatch;
    if (reply.outcome != call_outcome::done)
        return write_result::unknown;
    revision = reply.revision;
    return write_result::accepted;
}

} // namespace baobabport::ctl
