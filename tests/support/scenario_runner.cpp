#include "support/scenario_runner.h"

#include <algorithm>
#include <sstream>

namespace fake {

namespace {

constexpr milliseconds deadline{2000};
constexpr milliseconds start_time{100};

std::vector<std::string> words_of(const std::string &line)
{
    std::vector<std::string> out;
    std::istringstream in(line.substr(0, line.find('#')));
    std::string word;
    while (in >> word)
        out.push_back(word);
    return out;
}

std::size_t number(const std::string &word)
{
    return static_cast<std::size_t>(std::stoul(word));
}

/// Converts a number of an instance or home, counted from 1 in scenarios, to an index.
std::size_t index(const std::string &word)
{
    return number(word) - 1;
}

instance_id instance(const std::string &word)
{
    return static_cast<instance_id>(index(word));
}

std::string value_in(const std::string &rows)
{
    const std::string mark = "\"value\":\"";
    const auto at = rows.find(mark);
    if (at == std::string::npos)
        return "nothing";
    const auto from = at + mark.size();
    return rows.substr(from, rows.find('"', from) - from);
}

} // namespace

scenario_runner::scenario_runner() : site_(std::make_unique<fake_site>(site_options{}))
{
    site_->run_for(start_time);
}

std::vector<std::string> scenario_runner::run(const std::string &text)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    std::string line;
    for (int n = 1; std::getline(in, line); ++n) {
        const auto words = words_of(line);
        if (words.empty())
            continue;
        if (const auto problem = run_line(words))
            out.push_back("line " + std::to_string(n) + ": " + line + ": " + *problem);
    }
    out.insert(out.end(), site_->violations.begin(), site_->violations.end());
    return out;
}

std::optional<std::string> scenario_runner::run_line(const std::vector<std::string> &words)
{
    const auto &verb = words.front();
    if (verb == "write" || verb == "repeat" || verb == "read" || verb == "sheet")
        return run_request(words);
    if (verb == "primary" || verb == "once")
        return run_check(words);
    return run_fault(words);
}

inner::statement_answer scenario_runner::send(caller &who, const inner::statement_request &request,
                                              std::size_t home)
{
    inner::statement_answer out;
    out.outcome = consistency::verdict::unknown;
    out.reason = "no_answer";
    bool answered = false;
    site_->submit(home, request, [&](const auto &answer) {
        out = answer;
        answered = true;
    });
    for (milliseconds waited{0}; !answered && waited < deadline + milliseconds(250);
         waited += milliseconds(5))
        site_->run_for(milliseconds(5));
    if (!answered)
        site_->run_for(milliseconds(0));
    if (out.outcome == consistency::verdict::ran)
        who.floor = std::max(who.floor.value_or(consistency::position{}), out.at);
    if (out.outcome == consistency::verdict::unknown)
        who.in_doubt = true;
    else if (out.settles_doubt)
        who.in_doubt = false;
    return out;
}

std::optional<std::string> scenario_runner::run_request(const std::vector<std::string> &words)
{
    const bool writes = words[0] == "write" || words[0] == "repeat";
    const std::size_t via = writes ? 4 : 3;
    if (words.size() != via + 4 || words[via] != "via" || words[via + 2] != "expect")
        return "unknown form";
    auto &who = callers_[words[1]];
    inner::statement_request request;
    request.database = "db";
    request.class_name = writes ? "booking" : words[0] == "sheet" ? "sheet" : "visit";
    request.statement = writes ? "update" : "select";
    request.arguments = R"({"key":")" + words[2] + R"(","value":")" + (writes ? words[3] : "") + R"("})";
    request.caller = words[1];
    request.time_left = deadline;
    request.floor = who.floor.value_or(consistency::position{});
    request.in_doubt = who.in_doubt;
    if (words[0] == "write")
        who.last_id = words[1] + '-' + std::to_string(++who.writes);
    if (writes)
        request.request_id = who.last_id;
    const auto answer = send(who, request, index(words[via + 1]));
    const auto verdict = std::string(consistency::to_string(answer.outcome));
    const auto ran = answer.outcome == consistency::verdict::ran;
    const auto got = writes || !ran ? verdict : value_in(answer.rows);
    if (got != words[via + 3])
        return "got " + got + ' ' + answer.reason;
    return std::nullopt;
}

std::optional<std::string> scenario_runner::run_fault(const std::vector<std::string> &words)
{
    const auto &verb = words[0];
    const auto n = words.size();
    if (verb == "wait" && n == 2)
        site_->run_for(milliseconds(number(words[1])));
    else if (verb == "crash" && n == 2)
        site_->crash(instance(words[1]));
    else if (verb == "restart" && n == 2)
        site_->restart(instance(words[1]));
    else if ((verb == "isolate" || verb == "rejoin") && n == 2)
        site_->isolate(instance(words[1]), verb == "isolate");
    else if ((verb == "cut" || verb == "mend") && n == 4)
        site_->disconnect_home(index(words[1]), instance(words[3]), verb == "cut");
    else if ((verb == "split" || verb == "join") && n == 4)
        site_->disconnect_instances(instance(words[1]), instance(words[3]), verb == "split");
    else if (verb == "pause" && n == 2)
        site_->pause(index(words[1]));
    else if (verb == "resume" && n == 2)
        site_->resume(index(words[1]));
    else if (verb == "kill" && n == 2)
        site_->kill(index(words[1]));
    else if (verb == "lag" && n == 2)
        site_->set_lag(milliseconds(number(words[1])));
    else if (verb == "lose" && n == 2)
        site_->lose_next_answer();
    else if (verb == "late" && n == 3)
        site_->delay_next_answer(milliseconds(number(words[2])));
    else if (verb == "leaving" && n == 2)
        site_->set_leaving(instance(words[1]), true);
    else
        return "unknown verb or form";
    return std::nullopt;
}

std::optional<std::string> scenario_runner::run_check(const std::vector<std::string> &words)
{
    const auto primary = site_->primary();
    if (!primary)
        return "no primary";
    if (words[0] == "primary" && words.size() == 3) {
        if (*primary == instance(words[2]))
            return std::nullopt;
        return "it is " + std::to_string(*primary + 1);
    }
    if (words[0] != "once" || words.size() != 2)
        return "unknown form";
    const auto &id = callers_[words[1]].last_id;
    const auto &log = site_->group().log(*primary);
    const auto n = std::count_if(log.begin(), log.end(), [&](const auto &it) { return it.request_id == id; });
    if (n == 1)
        return std::nullopt;
    return id + " stands " + std::to_string(n) + " times in the log";
}

} // namespace fake
