#include "caller.h"

#include "session_texts.h"
#include "support/socket_options.h"

#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utility>

namespace soak {

using namespace baobabport;
using std::chrono::milliseconds;

namespace {

/// Longer than the time limit of any route: an answer that is later than this is not expected any more.
constexpr milliseconds answer_timeout{4000};
constexpr std::uint64_t max_pause_ms = 30;
constexpr milliseconds reconnect_pause{60};
/// A statement may be in flight when its idle session is closed; this is the bound on the users' sites.
constexpr milliseconds lost_grace_period{200};
/// Staleness allowed on the `old` routes; the same as in the site's desired state.
constexpr milliseconds max_staleness{2500};

bool guarantees_no_effect(const std::string &code)
{
    static const std::array<const char *, 7> codes = {"BUSY",  "ABORTED", "LAGGING", "READONLY",
                                                      "MOVED", "MAXCONN", "DENIED"};
    for (const auto *const it : codes) {
        if (code == it)
            return true;
    }
    return false;
}

std::string word(const std::string &line, std::size_t number)
{
    std::size_t at = 0;
    for (std::size_t n = 0; n < number && at != std::string::npos; ++n) {
        at = line.find(' ', at);
        at = at == std::string::npos ? at : at + 1;
    }
    return at == std::string::npos ? "" : line.substr(at, line.find(' ', at) - at);
}

} // namespace

caller::caller(event_base *base, ledger &writes, statement_account &account,
               const std::vector<entry_point> &entries, caller_keys keys, std::string name,
               std::string service, std::uint64_t seed)
    : base_(base), writes_(writes), entries_(entries), keys_(std::move(keys)), name_(std::move(name)),
      service_(std::move(service)), random_(seed), pause_(base, [this] { socket_ ? next() : connect(); }),
      answer_timer_(base, [this] { close(false); }), session_(account, name_)
{
    pause_.start(milliseconds(random(100)));
}

caller::~caller()
{
    if (socket_)
        bufferevent_free(socket_);
}

void caller::connect()
{
    if (stopping_)
        return;
    entry_ = random(entries_.size());
    route_ = keys_.routes.at(random(keys_.routes.size()));
    key_ = keys_.pick();
    connected_at_ = std::chrono::steady_clock::now();
    reader_ = {};
    session_.begin();
    begin_new_items(); // an earlier session's writes do not count for this session's read-your-writes
    socket_ = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        socket_, [](bufferevent * /*from*/, void *self) { static_cast<caller *>(self)->read_lines(); },
        nullptr,
        [](bufferevent * /*from*/, short what, void *self) {
            if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                static_cast<caller *>(self)->close(true);
        },
        this);
    bufferevent_enable(socket_, EV_READ | EV_WRITE);
    const auto to = support::to_sockaddr(entries_[entry_].at);
    bufferevent_socket_connect(socket_, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    const auto hello = "CONNECT " + route_ + service_ + ' ' + key_ + "\r\n";
    bufferevent_write(socket_, hello.data(), hello.size());
    on_answer_ = [this](const auto &code, const auto &) {
        if (!code.empty())
            return close(false);
        check_admission(true);
        send_statement("SET tag " + name_, [this](const auto &failed, const auto &) {
            failed.empty() ? pause_.start(milliseconds(0)) : close(false);
        });
    };
    answer_timer_.start(answer_timeout);
}

void caller::check_admission(bool admitted)
{
    const bool quiet = entries_[entry_].undisturbed();
    const auto wrong = route_ != "open" ? keys_.account->check_admission(key_, admitted, connected_at_, quiet)
                       : admitted       ? std::string()
                                        : "denied on a public route";
    if (!wrong.empty())
        writes_.violation(name_ + " on " + route_ + ": " + wrong);
}

void caller::close(bool by_peer)
{
    const auto &entry = entries_[entry_];
    // A process that stops, and one that learns of the removal of a key, answer what they have sent before.
    const bool closed_as_planned = by_peer && on_answer_ && statements_ > 0 && entry.undisturbed();
    const auto waited = std::chrono::steady_clock::now() - sent_at_;
    if (closed_as_planned && (waited > lost_grace_period || entry.has_run(last_id_)))
        writes_.violation(name_ + " lost its session without an answer to " + last_id_ +
                          ", with nothing disturbed");
    answer_timer_.stop();
    if (socket_)
        bufferevent_free(socket_);
    socket_ = nullptr;
    if (auto hook = std::exchange(on_answer_, {}); hook && statements_ > 0)
        hook("LOST", "");
    statements_ = 0;
    pause_.start(reconnect_pause);
}

void caller::read_lines()
{
    auto *const in = bufferevent_get_input(socket_);
    std::string bytes(evbuffer_get_length(in), '\0');
    evbuffer_remove(in, bytes.data(), bytes.size());
    reader_.append(bytes);
    while (socket_) {
        const auto line = reader_.next();
        if (!line)
            return;
        const auto kind = word(*line, 0);
        if (kind == "ERROR") {
            code_ = word(*line, 1);
        } else if (kind == "ROW") {
            row_ = line->substr(4);
        } else if (kind == "READY") {
            answer_timer_.stop();
            if (code_ == "UNKNOWN") // it only uses names whose preparing was acknowledged
                writes_.violation(name_ + "'s prepared statement is unknown");
            if (on_answer_)
                session_.record_answer(code_.empty(), word(*line, 1) == "I");
            if (auto hook = std::exchange(on_answer_, {}))
                hook(std::exchange(code_, {}), std::exchange(row_, {}));
        }
        if (kind == "ERROR" && statements_ == 0) {
            if (code_ == "DENIED")
                check_admission(false);
            return close(false); // the session was rejected
        }
    }
}

void caller::send_statement(const std::string &text, answer_hook done)
{
    if (!socket_)
        return done("LOST", "");
    ++statements_;
    code_.clear();
    row_.clear();
    on_answer_ = std::move(done);
    last_id_ = name_ + '-' + std::to_string(statements_) + '.' + std::to_string(random_());
    sent_at_ = std::chrono::steady_clock::now();
    session_.record_sent(last_id_, text);
    keys_.account->record_sent(last_id_, key_, route_ == "open");
    const auto line = "QUERY " + last_id_ + ' ' + text + "\r\n";
    bufferevent_write(socket_, line.data(), line.size());
    answer_timer_.start(answer_timeout);
}

/// Sends a statement that reads or writes the item, often after one that changes the session's state.
void caller::send_random(const std::string &item, const std::string &data, const answer_hook &done)
{
    constexpr std::uint64_t change_interval = 3;
    if (!socket_ || random(change_interval) != 0)
        return send_statement(random_statement(session_, item, data, random_), done);
    send_statement(random_state_change(session_, random_),
                   [this, item, data, done](const auto &code, auto &) {
                       if (!code.empty() && socket_)
                           close(false); // as the protocol demands
                       send_random(item, data, done);
                   });
}

std::string caller::current_item() const
{
    return service_ + ':' + name_ + '.' + std::to_string(generation_);
}

void caller::next()
{
    if (stopping_) {
        close(false);
        return;
    }
    constexpr std::uint64_t kinds = 10;
    const auto choice = random(kinds);
    if (choice < 4)
        write();
    else if (choice < 6)
        transaction();
    else if (choice < 7)
        read_transaction();
    else
        read_item(random(4) == 0 ? random_blank_item(random_) : current_item());
}

void caller::record_answer(const std::string &item, std::uint64_t number, const std::string &code)
{
    const auto what = code.empty()                 ? write_answer::committed
                      : guarantees_no_effect(code) ? write_answer::refused
                                                   : write_answer::unknown;
    writes_.record_answer(item, number, what, std::chrono::steady_clock::now());
    if (what == write_answer::committed)
        ++served_;
    if (what == write_answer::unknown)
        begin_new_items(); // the write may still take effect after later ones
}

void caller::begin_new_items()
{
    ++generation_;
}

void caller::write()
{
    const auto item = current_item();
    const auto number = writes_.next_number(item);
    send_random(item, std::to_string(number), [this, item, number](const auto &code, const auto &) {
        record_answer(item, number, code);
        if (socket_)
            pause_.start(milliseconds(random(max_pause_ms)));
    });
}

time_point caller::floor_time() const
{
    const auto now = std::chrono::steady_clock::now();
    return route_ == "old" ? now - max_staleness : now;
}

void caller::read_item(const std::string &item)
{
    send_random(item, "", [this, item, floor = floor_time()](const auto &code, const auto &row) {
        if (code.empty()) {
            ++served_;
            // Writes that were lost with their primary during the read are not owed.
            writes_.check_read(item, row, writes_.newest_acknowledged(item, floor), name_ + " on " + route_);
        }
        if (socket_)
            pause_.start(milliseconds(random(max_pause_ms)));
    });
}

void caller::transaction()
{
    send_statement("BEGIN", [this](const auto &code, const auto &) {
        if (!code.empty())
            return socket_ ? pause_.start(reconnect_pause) : void();
        const auto item = service_ + ':' + name_ + ".x" + std::to_string(generation_);
        const auto number = writes_.next_number(item);
        writes_.next_number(item + 'y');
        writes_.record_pair(item, item + 'y', number);
        write_pair(item, number);
    });
}

/// Writes both items of the open transaction, and reads the first in between.
void caller::write_pair(const std::string &item, std::uint64_t number)
{
    const auto text = std::to_string(number);
    send_random(item, text, [this, item, text, number](const auto &failed, const auto &) {
        if (!failed.empty())
            return finish_transaction(number, false);
        send_random(item, "", [this, item, text, number](const auto &read_failed, const auto &row) {
            if (!read_failed.empty())
                return finish_transaction(number, false);
            writes_.check_read(item, row, number, name_ + " in its own transaction");
            send_random(item + 'y', text, [this, number](const auto &second_failed, const auto &) {
                finish_transaction(number, second_failed.empty() && random(4) != 0);
            });
        });
    });
}

void caller::read_transaction()
{
    send_statement("BEGIN READ", [this, floor = floor_time()](const auto &code, const auto &) {
        if (!code.empty())
            return socket_ ? pause_.start(reconnect_pause) : void();
        read_twice(current_item(), floor, true);
    });
}

/// Reads the item in the open transaction, `again` or for the last time, and then ends the transaction.
void caller::read_twice(const std::string &item, time_point floor, bool again)
{
    send_random(item, "", [this, item, floor, again](const auto &code, const auto &row) {
        if (code.empty()) {
            ++served_;
            writes_.check_read(item, row, writes_.newest_acknowledged(item, floor), name_ + " on " + route_);
            if (again)
                return read_twice(item, floor, false);
        }
        send_statement(code.empty() ? "COMMIT" : "ROLLBACK", [this](const auto &, const auto &) {
            if (socket_)
                pause_.start(milliseconds(random(max_pause_ms)));
        });
    });
}

void caller::finish_transaction(std::uint64_t number, bool commit)
{
    const auto item = service_ + ':' + name_ + ".x" + std::to_string(generation_);
    send_statement(commit ? "COMMIT" : "ROLLBACK",
                   [this, item, number, commit](const auto &code, const auto &) {
                       // Without a commit no write may take effect, whatever the answer.
                       const auto outcome = commit ? code : std::string("ABORTED");
                       record_answer(item + 'y', number, outcome);
                       record_answer(item, number, outcome);
                       if (socket_)
                           pause_.start(milliseconds(random(max_pause_ms)));
                   });
}

} // namespace soak
