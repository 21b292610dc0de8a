// The instance's sockets, sessions, statements and commands.

#include "line_instance.h"

#include "line_group.h"
#include "platform/line_codec.h"
#include "support/socket_options.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <unistd.h>
#include <utility>

namespace standin {

using baobabport::consistency::position;

/// A statement that occupies a slot or waits for one.
struct line_instance::job
{
    std::uint64_t number = 0;
    std::uint64_t connection = 0;
    std::string id;
    std::string text;
    std::unique_ptr<baobabport::inner::timer> completion_timer; ///< null while the job waits
};

struct line_instance::connection
{
    line_instance *owner = nullptr;
    std::uint64_t number = 0;
    bufferevent *socket = nullptr;
    baobabport::platform::line_reader reader;
    bool open = false;
    std::string caller; ///< the name under which the client opened it
    char state = 'I';
    bool read_only = false;
    std::uint64_t transaction = 0; ///< number of the transaction that began last
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;           ///< kind (`READ` or `WRITE`) and shape by name
    std::map<std::string, std::string> uncommitted_writes; ///< of the open transaction, by item

    connection() = default;
    ~connection() { bufferevent_free(socket); }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;
};

namespace {

std::string pop_word(std::string &text)
{
    const auto end = std::min(text.find(' '), text.size());
    auto out = text.substr(0, end);
    text.erase(0, end + 1);
    return out;
}

std::string text_of(const position &at)
{
    return std::to_string(at.term) + '.' + std::to_string(at.offset);
}

} // namespace

line_instance::line_instance(event_base *base, line_group &group, std::string id)
    : base_(base), group_(group), id_(std::move(id))
{
    listen();
}

void line_instance::listen()
{
    auto at = baobabport::support::to_sockaddr(address());
    const auto accepted = [](evconnlistener * /*listener*/, evutil_socket_t socket, sockaddr * /*from*/,
                             int /*length*/,
                             void *self) { static_cast<line_instance *>(self)->accept(socket); };
    constexpr int backlog = 64;
    listener_ = evconnlistener_new_bind(base_, accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                        backlog, reinterpret_cast<const sockaddr *>(&at), sizeof(at));
    if (!listener_)
        throw std::runtime_error("cannot listen on " + address().text());
    socklen_t length = sizeof(at);
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr *>(&at), &length);
    port_ = ntohs(at.sin_port);
}

baobabport::support::address line_instance::address() const
{
    // No outgoing connection uses this address as its source, so the port is still free after a crash.
    constexpr int bits = 7;
    constexpr int mask = (1 << bits) - 1;
    const int pid = getpid();
    return {"127.8." + std::to_string((pid >> bits) & mask) + '.' + std::to_string(1 + (pid & mask)), port_};
}

line_instance::~line_instance()
{
    crash();
}

void line_instance::crash()
{
    if (listener_)
        evconnlistener_free(listener_);
    listener_ = nullptr;
    jobs_.clear();
    connections_.clear();
}

void line_instance::reset_connections()
{
    jobs_.clear();
    for (const auto &it : connections_)
        baobabport::support::discard_on_close(bufferevent_getfd(it.second->socket));
    connections_.clear();
}

void line_instance::forget_prepared()
{
    for (const auto &it : connections_)
        it.second->prepared.clear();
}

void line_instance::forget_session_state()
{
    forget_prepared();
    for (const auto &it : connections_)
        it.second->values.clear();
}

void line_instance::restart(bool as_primary)
{
    if (!crashed())
        return;
    primary = as_primary;
    paused_at = 0;
    listen();
}

void line_instance::apply(std::size_t entries)
{
    applied_ = std::min(std::max(applied_, entries), log.size());
}

void line_instance::receive_log(const std::vector<log_entry> &from)
{
    // Entries that the primary's log does not have are rolled back.
    std::size_t common_length = 0;
    while (common_length < std::min(log.size(), from.size()) &&
           log[common_length].at == from[common_length].at)
        ++common_length;
    if (common_length < log.size())
        applied_ = std::min(applied_, common_length);
    log.resize(common_length);
    log.insert(log.end(), from.begin() + static_cast<std::ptrdiff_t>(common_length), from.end());
    if (group_.traits.lag.count() == 0)
        return apply(log.size());
    const auto it = apply_timers_.emplace(apply_timers_.end());
    *it = std::make_unique<baobabport::inner::timer>(base_, [this, it, entries = log.size()] {
        apply(entries);
        apply_timers_.erase(it);
    });
    (*it)->start(group_.traits.lag);
}

std::size_t line_instance::open_transactions() const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                  [](const auto &it) { return it.second->state != 'I'; }));
}

std::size_t line_instance::prepared_statements() const
{
    std::size_t out = 0;
    for (const auto &it : connections_)
        out += it.second->prepared.size();
    return out;
}

void line_instance::accept(int socket)
{
    auto it = std::make_unique<connection>();
    it->owner = this;
    it->number = ++last_connection_;
    it->socket = bufferevent_socket_new(base_, socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        it->socket,
        [](bufferevent *from, void *arg) {
            auto &conn = *static_cast<connection *>(arg);
            std::string bytes(evbuffer_get_length(bufferevent_get_input(from)), '\0');
            evbuffer_remove(bufferevent_get_input(from), bytes.data(), bytes.size());
            conn.reader.append(bytes);
            while (const auto line = conn.reader.next())
                conn.owner->handle_line(conn, *line);
        },
        nullptr,
        [](bufferevent * /*from*/, short what, void *arg) {
            auto &conn = *static_cast<connection *>(arg);
            if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                conn.owner->connections_.erase(conn.number);
        },
        it.get());
    bufferevent_enable(it->socket, EV_READ | EV_WRITE);
    connections_[it->number] = std::move(it);
}

void line_instance::handle_line(connection &from, const std::string &line)
{
    auto rest = line;
    const auto word = pop_word(rest);
    if (unresponsive)
        return;
    if (word == "CONNECT") {
        const auto service = pop_word(rest);
        from.caller = pop_word(rest);
        if (service != group_.service() || (!rest.empty() && rest != id_))
            return answer(from, "ERROR MOVED " + id_ + "\r\n");
        if (connections_.size() > group_.traits.max_connections)
            return answer(from, "ERROR MAXCONN " + id_ + "\r\n");
        from.open = true;
        return answer(from, "READY I " + text_of(applied()) + "\r\n");
    }
    const auto id = pop_word(rest);
    query(from, id, rest);
}

void line_instance::query(connection &from, const std::string &id, std::string text)
{
    if (text.starts_with("AFTER ")) {
        pop_word(text);
        std::istringstream floor(pop_word(text));
        position requested;
        char dot = 0;
        floor >> requested.term >> dot >> requested.offset;
        if (applied() < requested)
            return send_error(from, "LAGGING");
    }
    auto rest = text;
    const auto word = pop_word(rest);
    if (from.state == 'E' && word != "COMMIT" && word != "ROLLBACK")
        return send_error(from, "MALFORMED");
    if (word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT")
        admit(from, id, text);
    else
        command(from, word, rest);
}

void line_instance::admit(connection &from, const std::string &id, const std::string &text)
{
    const auto &traits = group_.traits;
    if (traits.slots == 0)
        return run(from, id, text);
    if (jobs_.size() >= traits.slots + traits.queue)
        return send_error(from, "BUSY");
    jobs_.push_back({++last_job_, from.number, id, text, nullptr});
    if (jobs_.size() <= traits.slots)
        start(jobs_.back());
}

void line_instance::start(job &it)
{
    it.completion_timer =
        std::make_unique<baobabport::inner::timer>(base_, [this, number = it.number] { finish(number); });
    it.completion_timer->start(group_.traits.statement_time);
}

void line_instance::finish(std::uint64_t number)
{
    const auto it =
        std::find_if(jobs_.begin(), jobs_.end(), [&](const auto &j) { return j.number == number; });
    const auto done = std::move(*it);
    jobs_.erase(it);
    for (auto &next : jobs_) {
        if (!next.completion_timer) {
            start(next);
            break;
        }
    }
    // If the connection has closed meanwhile, its transaction was rolled back and the statement is dropped.
    const auto from = connections_.find(done.connection);
    if (from != connections_.end())
        run(*from->second, done.id, done.text);
}

void line_instance::run(connection &from, const std::string &id, const std::string &text)
{
    if (!fail_next_with.empty()) {
        const auto code = std::exchange(fail_next_with, {});
        return send_error(from, code);
    }
    auto rest = text;
    auto word = pop_word(rest);
    std::string shape;
    if (word == "EXECUTE") {
        const auto prepared = from.prepared.find(pop_word(rest));
        if (prepared == from.prepared.end())
            return send_error(from, "UNKNOWN");
        shape = prepared->second;
        word = shape.substr(0, shape.find(' '));
    }
    const bool in_transaction = from.state == 'T';
    if (!primary && (word == "WRITE" || (in_transaction && !from.read_only)))
        return send_error(from, "READONLY");
    group_.ran.push_back({id_, from.number, id, text, from.values, in_transaction,
                          in_transaction ? from.transaction : 0, shape, from.caller});
    std::string rows;
    if (word == "READ") {
        const auto own_write = from.uncommitted_writes.find(rest);
        rows =
            "ROW " + (own_write == from.uncommitted_writes.end() ? read(rest) : own_write->second) + "\r\n";
    } else if (word == "WRITE") {
        const auto item = pop_word(rest);
        from.uncommitted_writes[item] = rest;
    } else {
        from.state = 'I';
    }
    if (from.state == 'I' && !from.uncommitted_writes.empty())
        group_.commit(*this, std::exchange(from.uncommitted_writes, {}));
    if (lose_answers > 0) {
        --lose_answers;
        return;
    }
    answer(from, more_rows + rows + "COMPLETE mac" + std::to_string(++last_receipt_) + "\r\nREADY " +
                     from.state + ' ' + text_of(applied()) + "\r\n");
}

void line_instance::command(connection &from, const std::string &word, const std::string &rest)
{
    auto words = rest;
    if (word == "BEGIN") {
        if (!primary && rest.empty())
            return send_error(from, "READONLY");
        from.state = 'T';
        from.transaction = ++last_transaction_;
        from.read_only = !rest.empty();
    } else if (word == "ROLLBACK") {
        from.state = 'I';
        from.uncommitted_writes.clear();
    } else if (word == "SET") {
        const auto name = pop_word(words);
        if (name == group_.refused_value)
            return send_error(from, "READONLY");
        from.values[name] = words;
    } else if (word == "PREPARE") {
        const auto name = pop_word(words);
        const auto kind = words.substr(0, words.find(' '));
        const auto shape = words.substr(std::min(kind.size() + 1, words.size()));
        if (name.empty() || (kind != "READ" && kind != "WRITE") || shape.empty() ||
            shape == group_.refused_shape)
            return send_error(from, "MALFORMED");
        from.prepared[name] = words;
    } else if (word == "CLOSE") {
        if (from.prepared.erase(words) == 0)
            return send_error(from, "UNKNOWN");
    } else if (word == "RESET") {
        from.values.clear();
        from.prepared.clear();
    } else if (word == "PAUSE") {
        const auto requested = std::stoull(rest);
        if (!primary && requested > term)
            paused_at = requested;
        return send_status(from);
    } else if (word == "RESUME") {
        paused_at = 0;
        return send_status(from);
    } else if (word == "STEPDOWN") {
        if (std::stoull(rest) > term)
            primary = false;
        return send_status(from);
    } else if (word == "STATUS") {
        return send_status(from);
    } else {
        return send_error(from, "MALFORMED");
    }
    answer(from, std::string("COMPLETE -\r\nREADY ") + from.state + ' ' + text_of(applied()) + "\r\n");
}

void line_instance::send_status(connection &to)
{
    answer(to, std::string("ROW ") + (primary ? "primary " : "replica ") + std::to_string(term) + ' ' +
                   text_of(received()) + ' ' + std::to_string(paused_at) + " 0 " +
                   std::to_string(jobs_.size()) + ' ' + std::to_string(connections_.size()) +
                   "\r\nCOMPLETE -\r\nREADY " + to.state + ' ' + text_of(applied()) + "\r\n");
}

void line_instance::send_error(connection &to, const std::string &code)
{
    if (to.state == 'T' && code != "BUSY") // a refused statement has not run, so the transaction stays usable
        to.state = 'E';
    answer(to, "ERROR " + code + ' ' + id_ + "\r\nREADY " + to.state + ' ' + text_of(applied()) + "\r\n");
}

void line_instance::answer(connection &to, const std::string &body)
{
    bufferevent_write(to.socket, body.data(), body.size());
}

std::string line_instance::read(const std::string &item) const
{
    for (std::size_t n = applied_; n > 0; --n) {
        const auto &items = log[n - 1].items;
        const auto found = items.find(item);
        if (found != items.end())
            return found->second;
    }
    return "none";
}

} // namespace standin
