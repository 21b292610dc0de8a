// Statement execution at other processes: links that end or recover, and the choice of the home.

#include "line_group.h"
#include "proxy/peer_task.h"
#include "support/free_address.h"
#include "support/stalled_listener.h"

#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <event2/util.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace baobabport;
using std::chrono::milliseconds;
using testing::free_address;

namespace {

/// A process that accepts connections and never reads from them.
struct unresponsive_peer
{
    unresponsive_peer()
    {
        listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in it{};
        it.sin_family = AF_INET;
        it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(listener, reinterpret_cast<sockaddr *>(&it), sizeof(it)) == 0);
        REQUIRE(::listen(listener, 4) == 0);
        socklen_t length = sizeof(it);
        ::getsockname(listener, reinterpret_cast<sockaddr *>(&it), &length);
        at = {"127.0.0.1", ntohs(it.sin_port)};
        evutil_make_socket_nonblocking(listener);
    }
    ~unresponsive_peer() { ::close(listener); }
    unresponsive_peer(const unresponsive_peer &) = delete;
    unresponsive_peer &operator=(const unresponsive_peer &) = delete;

    int listener = -1;
    support::address at;
};

template <typename Condition>
bool run_until(event_base *base, Condition condition)
{
    constexpr std::chrono::seconds timeout{10};
    const auto end = std::chrono::steady_clock::now() + timeout;
    auto *const wake = event_new(
        base, -1, EV_PERSIST, [](int, short, void *) {}, nullptr);
    const timeval interval{0, 5000};
    event_add(wake, &interval);
    while (!condition() && std::chrono::steady_clock::now() < end)
        event_base_loop(base, EVLOOP_ONCE);
    event_free(wake);
    return condition();
}

const proxy::time_point now{std::chrono::hours(1)};

/// The processes `self` and `peer`; `peer` has an instance whose answers are written by the test.
struct two_processes
{
    two_processes()
        : base(event_base_new()),
          pool(std::make_shared<proxy::instance_pool>(
              base, proxy::upstream_target{instance.at(), "db", "i-1", "proxy"}, 4,
              proxy::instance_pool::health_hooks{[] {}, [] {}, [](const auto &, bool) {}}))
    {
        pool->set_slots(1);
        const inner::member self_member{"self", "erie", free_address().text()};
        const inner::member peer_member{"peer", "erie", free_address().text()};
        self.emplace(
            base, proxy::peer_identity{"self", "erie", *support::parse_address(self_member.address), "key"},
            self_executor);
        peer.emplace(
            base, proxy::peer_identity{"peer", "erie", *support::parse_address(peer_member.address), "key"},
            peer_executor);
        self->set_members({self_member, peer_member});
        for (int n = 0; home() != "peer"; ++n)
            instance_of_peer = "i-" + std::to_string(n);
    }
    ~two_processes()
    {
        self.reset();
        peer.reset();
        pool.reset();
        event_base_loop(base, EVLOOP_NONBLOCK);
        event_base_free(base);
    }
    two_processes(const two_processes &) = delete;
    two_processes &operator=(const two_processes &) = delete;

    [[nodiscard]] std::string home() const
    {
        return self->home_of(instance_of_peer, "erie", support::boot_clock::now());
    }

    /// Sends a statement from `self` to `peer`.
    void execute(inner::execute_request request)
    {
        request.service = "db";
        request.instance = "i-1";
        request.time_left = milliseconds(20000);
        request.wait_left = milliseconds(20000);
        self->execute("peer", std::move(request), [this](const auto &it) { answers.push_back(it); });
    }

    event_base *base;
    testing::stalled_listener instance;
    std::shared_ptr<proxy::instance_pool> pool;
    proxy::local_executor self_executor{[](const auto &, const auto &) { return nullptr; }};
    proxy::local_executor peer_executor{[this](const auto &, const auto &) { return pool; }};
    std::optional<proxy::peer_task> self;
    std::optional<proxy::peer_task> peer;
    std::string instance_of_peer; ///< its home is `peer`
    std::vector<inner::execute_answer> answers;
};

} // namespace

TEST_CASE("a statement that timed out is not delivered when its link recovers")
{
    auto *const base = event_base_new();
    const unresponsive_peer peer;
    {
        proxy::local_executor executor([](const auto &, const auto &) { return nullptr; });
        proxy::peer_task peers(base, {"self", "erie", free_address(), "key"}, executor);
        peers.set_members({{"peer", "erie", peer.at.text()}});
        inner::execute_request request;
        request.time_left = milliseconds(100);
        std::optional<inner::execute_answer> answer;
        peers.execute("peer", request, [&answer](const auto &it) { answer = it; });
        int accepted = -1;
        REQUIRE(run_until(base, [&] {
            accepted = accepted >= 0 ? accepted : ::accept(peer.listener, nullptr, nullptr);
            return answer.has_value();
        }));
        CHECK(answer->outcome != inner::execute_outcome::answered);
        REQUIRE(accepted >= 0);
        // The other side must see the connection reset, not closed with bytes left to read.
        bool reset = false;
        CHECK(run_until(base, [&] {
            std::array<char, 4096> bytes{}; // of the hello message
            reset = reset ||
                    (::recv(accepted, bytes.data(), bytes.size(), MSG_DONTWAIT) < 0 && errno == ECONNRESET);
            return reset;
        }));
        ::close(accepted);
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
}

TEST_CASE("an instance's home is the same for every process, and in the instance's data centre")
{
    auto *const base = event_base_new();
    {
        proxy::local_executor executor([](const auto &, const auto &) { return nullptr; });
        const std::vector<inner::member> all{{"a", "erie", free_address().text()},
                                             {"b", "erie", free_address().text()},
                                             {"c", "huron", free_address().text()}};
        std::vector<std::string> homes;
        for (const auto &it : all) {
            proxy::peer_task peers(base, {it.vm, it.data_centre, *support::parse_address(it.address), "key"},
                                   executor);
            peers.set_members(all);
            const auto home = peers.home_of("i-1", "erie", now);
            homes.push_back(home.empty() ? it.vm : home);
        }
        CHECK(homes[0] == homes[1]);
        CHECK(homes[0] == homes[2]);
        CHECK(homes[0] != "c");
    }
    event_base_free(base);
}

// Guards against transactions that a link's end left open at the home, with their connections.
TEST_CASE("a transaction that opens after its process has disconnected is rolled back")
{
    auto *const base = event_base_new();
    {
        standin::line_group group(base, "db", {"a"});
        group.at("a").primary = true;
        group.traits.slots = 1;
        group.traits.statement_time = milliseconds(200);
        auto pool = std::make_shared<proxy::instance_pool>(
            base, proxy::upstream_target{group.at("a").address(), "db", "a", "home"}, 4,
            proxy::instance_pool::health_hooks{[] {}, [] {}, [](const auto &, bool) {}});
        proxy::local_executor home_executor([&pool](const auto &, const auto &) { return pool; });
        proxy::local_executor no_executor([](const auto &, const auto &) { return nullptr; });
        const auto home_address = free_address();
        const proxy::peer_task home(base, {"home", "erie", home_address, "key"}, home_executor);
        std::optional<proxy::peer_task> entry(
            std::in_place, base, proxy::peer_identity{"entry", "erie", free_address(), "key"}, no_executor);
        entry->set_members({{"home", "erie", home_address.text()}});
        inner::execute_request request;
        request.service = "db";
        request.instance = "a";
        request.begin = inner::begin_mode::read_write;
        request.time_left = request.wait_left = milliseconds(5000);
        request.id = "q1";
        request.text = "WRITE x 1";
        entry->execute("home", request, [](const auto &) {});
        REQUIRE(run_until(base, [&group] { return group.at("a").open_transactions() == 1; }));
        entry.reset(); // its link closes while the statement runs
        REQUIRE(run_until(base, [&group] { return !group.ran.empty(); }));
        CHECK(run_until(base, [&group] { return group.at("a").open_transactions() == 0; }));
        CHECK(home_executor.open_transactions() == 0);
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
}

// Guards against a process that all sessions stop using, since one session's statement was too long for it.
TEST_CASE("a request that is too long for a message is refused, and its home stays in use")
{
    two_processes site;
    inner::execute_request request;
    request.id = "1";
    request.text = "WRITE x " + std::string(inner::stream_connection::max_message, 'x');
    request.transaction = 7;
    site.execute(request);
    CHECK(run_until(site.base, [&] { return !site.answers.empty(); }));
    REQUIRE(site.answers.size() == 1);
    const auto &answer = site.answers.front();
    CHECK(answer.outcome == inner::execute_outcome::answered);
    REQUIRE(answer.answer.error);
    CHECK(answer.answer.error->code == session::answer_code::malformed);
    CHECK(answer.answer.error->text.find("too long") != std::string::npos);
    CHECK(answer.transaction == 7); // still open, and rolled back by its session
    CHECK(site.home() == "peer");
}

// Guards against a process that all sessions stop using, since an instance's answer was too long to return.
TEST_CASE("an answer that is too long for a message is reported, and its home stays in use")
{
    two_processes site;
    inner::execute_request request;
    request.id = "1";
    request.text = "READ x";
    site.execute(request);
    REQUIRE(run_until(site.base, [&] { return site.instance.accepted(); }));
    site.instance.write("READY I 1.1\r\n");
    REQUIRE(run_until(site.base, [&] {
        site.instance.read();
        return site.instance.text().find("READ x") != std::string::npos;
    }));
    constexpr std::size_t row_size = 8192;
    for (std::size_t n = 0; n * row_size < 2 * inner::stream_connection::max_message; ++n) {
        site.instance.write("ROW " + std::string(row_size, 'x') + "\r\n");
        event_base_loop(site.base, EVLOOP_NONBLOCK);
    }
    site.instance.write("COMPLETE mac\r\nREADY I 1.1\r\n");
    CHECK(run_until(site.base, [&] { return !site.answers.empty(); }));
    REQUIRE(site.answers.size() == 1);
    const auto &answer = site.answers.front();
    CHECK(answer.outcome == inner::execute_outcome::answered);
    REQUIRE(answer.answer.error);
    CHECK(answer.answer.error->code == session::answer_code::failed);
    CHECK(answer.answer.cut);
    CHECK(answer.answer.rows.empty());
    CHECK(site.home() == "peer");
    CHECK(site.pool->idle_count() == 1); // the connection stays in use, too
}

TEST_CASE("the longest request that a session can make fits a message")
{
    session::session_context session;
    constexpr std::size_t half = session::session_context::max_size / 2;
    constexpr std::size_t names = session::session_context::max_entries;
    constexpr std::size_t name_size = half / names;
    for (std::size_t n = 0; n < names; ++n) {
        const auto name = std::to_string(n);
        REQUIRE(session.set_value(name + std::string(name_size - name.size(), 'x'), {}));
    }
    REQUIRE(session.prepare("s", {true, std::string(half - 1, 'x')}));
    inner::execute_request request;
    request.values = session.values();
    request.prepared = *session.find_prepared("s");
    request.text = request.prepared->shape + std::string(platform::max_message, 'x'); // name, argument and id
    request.service = request.instance = request.label = std::string(1000, 'x');
    request.floor = consistency::position{~std::uint64_t{0}, ~std::uint64_t{0}};
    request.transaction = ~std::uint64_t{0};
    CHECK(inner::encode(request).size() <= inner::stream_connection::max_message);
}
