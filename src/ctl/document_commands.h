// The operator's commands on documents: check, show, diff, apply and history.

#pragma once

#include "ctl/exit_status.h"
#include "document/document_change.h"
#include "http/blocking_client.h"
#include "settings/process_settings.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace baobabport::ctl {

struct apply_options
{
    std::string database;
    std::string file;
    std::string by;
    std::string note;
    std::optional<std::uint64_t> expected_revision; ///< the revision from which the file was made
};

/**
 * Runs one command against the store. Results go to `out`, refusals and errors to `err`.
 */
class document_commands
{
public:
    document_commands(const settings::process_settings &settings, std::ostream &out, std::ostream &err);

    int check(const std::string &file);
    int show(const std::string &database);
    int diff(const std::string &database, const std::string &file);
    int history(const std::string &database);
    int apply(const apply_options &options);

private:
    struct read_result
    {
        bool answered = false;
        document::stored_document document;
    };
    enum class write_result : std::uint8_t
    {
        accepted,
        revision_mismatch,
        unknown
    };

    read_result read(const std::string &database);
    write_result write(const std::string &database, const document::change_decision &decision,
                       std::uint64_t &revision);
    int run_change(const std::string &database, const document::document_change &change,
                   const document::stored_document &first);
    int report_no_answer();

    const settings::process_settings &settings_;
    std::ostream &out_;
    std::ostream &err_;
    http::blocking_client client_;
};

} // namespace baobabport::ctl
