#include "support/workload.h"

#include <algorithm>
#include <set>

namespace fake {

using consistency::verdict;
using inner::statement_answer;
using inner::statement_request;
using inner::transaction_step;

namespace {

constexpr milliseconds deadline{800};
constexpr milliseconds answer_grace_period{250};
constexpr int max_calls = 3;

int number_from(const std::string &rows)
{
    const auto at = rows.find("\"value\":\"");
    return at == std::string::npos ? 0 : std::stoi(rows.substr(at + 9));
}

} // namespace

workload::workload(fake_site &site, std::uint64_t seed) : site_(site), random_(seed)
{
    const kind kinds[] = {kind::booking, kind::mark, kind::transaction, kind::booking, kind::transaction};
    for (std::size_t n = 0; n < std::size(kinds); ++n) {
        session it;
        it.name = "s" + std::to_string(n);
        it.writes = kinds[n];
        sessions_.push_back(it);
    }
}

void workload::start()
{
    for (std::size_t n = 0; n < sessions_.size(); ++n) {
        if (split_homes)
            sessions_[n].home = n % 2;
        site_.after(milliseconds(100 + 3 * static_cast<int>(n)), [this, n] { write(n); });
    }
}

statement_request workload::request_of(const session &it, const char *class_name, const char *statement,
                                       int number) const
{
    statement_request out;
    out.database = "db";
    out.class_name = class_name;
    out.statement = statement;
    out.arguments = R"({"key":")" + it.name + R"(","value":")" + std::to_string(number) + R"("})";
    out.caller = it.name;
    out.time_left = deadline;
    if (!without_tokens) {
        out.floor = it.floor;
        out.in_doubt = it.in_doubt;
    }
    return out;
}

void workload::send(std::size_t n, const statement_request &request, std::size_t home, const done_hook &done)
{
    const auto call = next_call_++;
    sessions_[n].call = call;
    // As the entry does: without an answer the outcome is unknown, and late answers are ignored.
    const auto finish = [this, n, call, done](const statement_answer &answer) {
        if (sessions_[n].call != call)
            return;
        sessions_[n].call = 0;
        ++verdicts_[answer.outcome];
        done(answer);
    };
    site_.submit(home, request, finish);
    site_.after(deadline + answer_grace_period, [this, n, call, finish] {
        if (sessions_[n].call != call)
            return;
        sessions_[n].home = 1 - sessions_[n].home;
        statement_answer lost;
        lost.outcome = verdict::unknown;
        lost.reason = "home_lost";
        finish(lost);
    });
}

void workload::handle_answer(session &it, const statement_answer &answer, bool provisional)
{
    if (answer.outcome == verdict::ran && !provisional)
        it.floor = std::max(it.floor.value_or(consistency::position{}), answer.at);
    if (answer.outcome == verdict::unknown)
        it.in_doubt = true;
    else if (answer.settles_doubt)
        it.in_doubt = false;
    if (answer.use_next_rank)
        it.home = 1 - it.home;
}

void workload::write(std::size_t n)
{
    if (stopped_)
        return;
    auto &it = sessions_[n];
    if (alternates_homes)
        it.home = 1;
    if (it.writes == kind::transaction) {
        run_transaction(n);
        return;
    }
    const int number = it.next_number++;
    attempt_write(n, it.name + '-' + std::to_string(number), number, 0);
}

void workload::attempt_write(std::size_t n, const std::string &id, int number, int tries)
{
    auto &it = sessions_[n];
    const bool repeatable = it.writes == kind::mark;
    auto request = request_of(it, repeatable ? "mark" : "booking", "update", number);
    request.request_id = id;
    auto &record = ledger_[id];
    record.repeatable = repeatable;
    ++record.calls;
    send(n, request, it.home, [this, n, id, number, tries](const statement_answer &answer) {
        handle_answer(sessions_[n], answer, false);
        const bool retries = answer.outcome != verdict::ran && tries + 1 < max_calls && random_() % 2 == 0;
        if (retries && !stopped_) {
            auto &record_of_try = ledger_[id];
            const bool first = record_of_try.calls == 1;
            // Once an attempt may have run, a later `not_run` applies only to the later attempt.
            if (first || answer.outcome == verdict::unknown)
                record_of_try.outcome = answer.outcome;
            site_.after(milliseconds(20),
                        [this, n, id, number, tries] { attempt_write(n, id, number, tries + 1); });
            return;
        }
        written(n, id, number, answer);
    });
}

void workload::written(std::size_t n, const std::string &id, int number, const statement_answer &answer)
{
    auto &it = sessions_[n];
    auto &record = ledger_[id];
    // A later `not_run` applies only to the last call; an earlier one may have run.
    const bool earlier_may_have =
        record.calls > 1 && answer.outcome == verdict::not_run && record.outcome == verdict::unknown;
    if (!earlier_may_have)
        record.outcome = answer.outcome;
    if (answer.outcome == verdict::ran) {
        it.acknowledged = std::max(it.acknowledged, number);
        record_acknowledged();
    }
    read(n, random_() % 3 == 0 ? "sheet" : "visit");
}

void workload::record_acknowledged()
{
    const auto now = site_.elapsed();
    if (last_acknowledged_)
        longest_gap_ = std::max(longest_gap_, now - *last_acknowledged_);
    last_acknowledged_ = now;
}

void workload::read(std::size_t n, const char *class_name)
{
    auto &it = sessions_[n];
    if (alternates_homes)
        it.home = 0;
    const int min_number = std::max(it.acknowledged, it.seen);
    const auto floor = it.floor;
    const bool sheet = std::string(class_name) == "sheet";
    send(n, request_of(it, class_name, "select", 0), it.home,
         [this, n, min_number, floor, sheet](const statement_answer &answer) {
             auto &reader = sessions_[n];
             handle_answer(reader, answer, false);
             if (answer.outcome == verdict::ran) {
                 const int number = number_from(answer.rows);
                 if (number < min_number)
                     violations_.push_back(reader.name + (sheet ? " sheet" : " visit") + " read " +
                                           std::to_string(number) + " after number " +
                                           std::to_string(min_number));
                 if (floor && answer.at < *floor && !without_tokens)
                     violations_.push_back(reader.name + " received a position below its floor");
                 reader.seen = std::max(reader.seen, number);
             }
             pause_then_write(n);
         });
}

void workload::pause_then_write(std::size_t n)
{
    site_.after(milliseconds(5 + random_() % 20), [this, n] { write(n); });
}

void workload::run_transaction(std::size_t n)
{
    auto &it = sessions_[n];
    const int number = it.next_number++;
    const auto id = it.name + '-' + std::to_string(number);
    const auto home = it.home;
    auto begin = request_of(it, "booking", "begin", number);
    begin.step = transaction_step::begin;
    send(n, begin, home, [this, n, number, id, home](const statement_answer &begun) {
        if (begun.outcome != verdict::ran) {
            handle_answer(sessions_[n], begun, true);
            pause_then_write(n);
            return;
        }
        auto first = request_of(sessions_[n], "booking", "update", number);
        first.step = transaction_step::statement;
        first.transaction = begun.transaction;
        send(n, first, home, [this, n, number, id, home](const statement_answer &one) {
            if (one.outcome != verdict::ran) {
                pause_then_write(n);
                return;
            }
            auto second = request_of(sessions_[n], "booking", "update", number);
            second.step = transaction_step::statement;
            second.transaction = one.transaction;
            second.arguments =
                R"({"key":")" + sessions_[n].name + R"(-b","value":")" + std::to_string(number) + R"("})";
            send(n, second, home, [this, n, number, id, home](const statement_answer &two) {
                if (two.outcome == verdict::ran)
                    commit(n, id, number, two.transaction, home);
                else
                    pause_then_write(n);
            });
        });
    });
}

void workload::commit(std::size_t n, const std::string &id, int number, const std::string &transaction,
                      std::size_t home)
{
    auto request = request_of(sessions_[n], "booking", "commit", number);
    request.step = transaction_step::commit;
    request.transaction = transaction;
    request.request_id = id;
    ledger_[id].entries = 2;
    ++ledger_[id].calls;
    send(n, request, home, [this, n, id, number](const statement_answer &answer) {
        handle_answer(sessions_[n], answer, false);
        written(n, id, number, answer);
    });
}

std::vector<std::string> workload::check()
{
    auto out = violations_;
    out.insert(out.end(), site_.violations.begin(), site_.violations.end());
    const auto primary = site_.primary();
    if (!primary) {
        out.emplace_back("no primary at the end");
        return out;
    }
    std::map<std::string, std::size_t> entries;
    std::string last_id;
    std::set<std::string> ended;
    for (const auto &it : site_.group().log(*primary)) {
        if (it.request_id.empty() && !it.key.empty())
            out.push_back("an entry without its request's id: " + it.key + '=' + it.value);
        if (it.request_id != last_id && ended.contains(it.request_id) && !it.request_id.empty())
            out.push_back(it.request_id + " is in two places of the log");
        ended.insert(last_id);
        last_id = it.request_id;
        ++entries[it.request_id];
    }
    for (const auto &[id, record] : ledger_) {
        const auto n = entries.contains(id) ? entries.at(id) : 0;
        if (record.outcome == verdict::ran && n == 0)
            out.push_back(id + " was acknowledged and is not in the log");
        if (record.outcome == verdict::not_run && n > 0)
            out.push_back(id + " was answered not_run and ran");
        if (n > record.entries)
            out.push_back(id + " ran more than once");
        if (n > 0 && n < record.entries)
            out.push_back(id + " ran only in part");
    }
    for (const auto &[id, n] : site_.executions) {
        const auto it = ledger_.find(id);
        if (it != ledger_.end() && !it->second.repeatable && n > it->second.calls)
            out.push_back(id + " was sent upstream more often than the caller sent it");
    }
    return out;
}

std::size_t workload::acknowledged() const
{
    return static_cast<std::size_t>(std::count_if(
        ledger_.begin(), ledger_.end(), [](const auto &it) { return it.second.outcome == verdict::ran; }));
}

std::size_t workload::count(verdict outcome) const
{
    const auto it = verdicts_.find(outcome);
    return it == verdicts_.end() ? 0 : it->second;
}

} // namespace fake
