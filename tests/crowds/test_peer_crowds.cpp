// Crowds at the port for other processes, with and without the processes' key. Each test guards against a
// process that ends, hangs, or exceeds the memory or the descriptors of its machine.

#include "crowd_site.h"

#include "inner/execute_messages.h"
#include "inner/message_codec.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstring>
#include <nghttp2/nghttp2.h>

using namespace testing;
using namespace baobabport;

namespace {

constexpr std::size_t body_size = std::size_t{1000} * 1000;

ssize_t fill_body(nghttp2_session * /*session*/, std::int32_t /*id*/, std::uint8_t *buf, std::size_t length,
                  std::uint32_t *flags, nghttp2_data_source *source, void * /*user*/)
{
    auto &left = *static_cast<std::size_t *>(source->ptr);
    const auto n = std::min(length, left);
    std::memset(buf, 'x', n);
    left -= n;
    if (left == 0)
        *flags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
    return static_cast<ssize_t>(n);
}

/// Returns the frames of a client that opens streams to the path and sends a body on each, without an end.
/// Takes all windows to be as wide as a receiver may make them.
std::string endless_streams(const char *path, std::size_t streams, std::size_t bytes)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session *session = nullptr;
    nghttp2_session_client_new(&session, callbacks, nullptr);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, nullptr, 0);
    // The receiver's settings and window, as they would arrive.
    std::string received;
    const std::array<std::uint8_t, 9> settings{0, 0, 6, 4, 0, 0, 0, 0, 0};
    const std::array<std::uint8_t, 6> initial_window{0, 4, 0x00, 0x40, 0, 0};
    const std::array<std::uint8_t, 13> window{0, 0, 4, 8, 0, 0, 0, 0, 0, 0x3f, 0, 0, 0};
    received.append(settings.begin(), settings.end()).append(initial_window.begin(), initial_window.end());
    received.append(window.begin(), window.end());
    nghttp2_session_mem_recv(session, reinterpret_cast<const std::uint8_t *>(received.data()),
                             received.size());
    const auto header = [](const char *name, const char *value) {
        return nghttp2_nv{reinterpret_cast<std::uint8_t *>(const_cast<char *>(name)),
                          reinterpret_cast<std::uint8_t *>(const_cast<char *>(value)), std::strlen(name),
                          std::strlen(value), NGHTTP2_NV_FLAG_NONE};
    };
    const std::array<nghttp2_nv, 4> headers{header(":method", "POST"), header(":scheme", "http"),
                                            header(":authority", "crowd"), header(":path", path)};
    std::vector<std::size_t> left(streams, bytes);
    for (auto &it : left) {
        nghttp2_data_provider provider{};
        provider.source.ptr = &it;
        provider.read_callback = fill_body;
        nghttp2_submit_request(session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    }
    std::string out;
    const std::uint8_t *data = nullptr;
    for (auto n = nghttp2_session_mem_send(session, &data); n > 0;
         n = nghttp2_session_mem_send(session, &data))
        out.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(n));
    nghttp2_session_del(session);
    return out;
}

inner::execute_request long_statement()
{
    inner::execute_request out;
    out.service = "db";
    out.instance = "b";
    out.time_left = std::chrono::milliseconds(5000);
    out.wait_left = std::chrono::milliseconds(5000);
    out.id = "crowd";
    out.text = "READ " + std::string(body_size, 'x');
    return out;
}

} // namespace

TEST_CASE("crowd: streams without a key whose bodies do not end")
{
    crowd_site site;
    crowd all(site.base, site.first().peers, 10);
    all.send(endless_streams("/w", 12, body_size));
    site.let_send(all);
    site.let_settle();
    site.check_bounds("streams without a key");
}

TEST_CASE("crowd: hellos without a key whose bodies do not end")
{
    crowd_site site;
    crowd all(site.base, site.first().peers, 10);
    all.send(endless_streams("/hello", 12, body_size));
    site.let_send(all);
    site.let_settle();
    site.check_bounds("hellos without an end");
}

TEST_CASE("crowd: links that say nothing")
{
    crowd_site site;
    crowd all(site.base, site.first().peers, 500);
    site.let_settle();
    site.check_bounds("silent links");
}

TEST_CASE("crowd: links that send pings without end and read no answer")
{
    crowd_site site;
    crowd all(site.base, site.first().peers, 5);
    const std::array<char, 17> ping{0, 0, 8, 6};
    std::string many = endless_streams("/hello", 0, 0);
    for (int n = 0; n < 900000; ++n)
        many.append(ping.begin(), ping.end());
    all.send(many);
    site.let_send(all);
    site.let_settle();
    site.check_bounds("pings without end");
}

TEST_CASE("crowd: links with a wrong key, again and again")
{
    crowd_site site;
    for (int round = 0; round < 10; ++round) {
        std::size_t closed = 0;
        std::vector<std::unique_ptr<inner::stream_connection>> links;
        for (int n = 0; n < 40; ++n) {
            inner::stream_connection::hooks hooks;
            hooks.closed = [&closed](const std::string & /*reason*/) { ++closed; };
            links.push_back(inner::stream_connection::connect(site.base, site.first().peers, "stranger",
                                                              {"a wrong key", {}}, std::move(hooks)));
        }
        site.run_until([&] { return closed == links.size(); }, std::chrono::milliseconds(4000));
    }
    site.check_bounds("wrong keys");
}

// Another process passes on what its callers send; its links must not exceed the machine of an instance's
// home.
TEST_CASE("crowd: messages of the greatest size on the links of another process")
{
    crowd_site site;
    for (const auto &it : site.group.ids())
        site.group.at(it).unresponsive = true;
    const auto key = site.peer_key();
    std::vector<std::unique_ptr<inner::stream_connection>> links;
    std::size_t answered = 0;
    std::size_t sent = 0;
    for (int n = 0; n < 3; ++n) {
        links.push_back(inner::stream_connection::connect(site.base, site.first().peers,
                                                          "front-" + std::to_string(n + 7), {key, {}}, {}));
        for (int k = 0; k < 30; ++k) {
            ++sent;
            links.back()->send(inner::message_kind::execute_statement, inner::encode(long_statement()),
                               std::chrono::milliseconds(4000), [&answered](const auto &) { ++answered; });
        }
    }
    site.run_until([&] { return answered == sent; }, std::chrono::milliseconds(8000));
    for (const auto &it : site.group.ids())
        site.group.at(it).unresponsive = false;
    site.check_bounds("messages of another process");
}
