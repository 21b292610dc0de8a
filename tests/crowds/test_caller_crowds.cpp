// Crowds at the port for callers. Each test guards against a process that ends, hangs, or exceeds the memory
// or the descriptors of its machine, by what such a crowd sends.

#include "crowd_site.h"

#include "platform/line_codec.h"

#include <catch2/catch.hpp>

using namespace testing;

namespace {

constexpr std::size_t longest = baobabport::platform::max_message;
const std::string line_end = "\r\n";
const std::string hello = "CONNECT old crowd\r\n";

/// Returns a read whose message has this many bytes.
std::string read_of(std::size_t bytes)
{
    std::string out = "QUERY crowd READ ";
    out.resize(bytes, 'x');
    return out + line_end;
}

/// Returns rows of an answer that is not much shorter than the longest.
std::string large_rows()
{
    const auto row = "ROW " + std::string(longest - 100, 'r') + line_end;
    return row + row + row;
}

} // namespace

TEST_CASE("crowd: many messages of the greatest size at once, each in one piece")
{
    crowd_site site;
    crowd all(site.base, site.first().callers, 80);
    for (const auto &it : all.members)
        it->read_all();
    all.send(hello + read_of(longest));
    site.let_finish(all, 2);
    site.check_bounds("greatest messages, one piece");
}

TEST_CASE("crowd: many messages of the greatest size at once, each in small pieces")
{
    crowd_site site;
    crowd all(site.base, site.first().callers, 80);
    for (const auto &it : all.members)
        it->read_all();
    all.send_in_pieces(hello + read_of(longest), 4000);
    site.let_finish(all, 2);
    site.check_bounds("greatest messages, small pieces");
}

TEST_CASE("crowd: several messages of the greatest size on each connection")
{
    crowd_site site;
    crowd all(site.base, site.first().callers, 60);
    for (const auto &it : all.members)
        it->read_all();
    all.send(hello + read_of(longest - 1000) + read_of(longest - 1000));
    site.let_finish(all, 3);
    site.check_bounds("greatest messages, several");
}

TEST_CASE("crowd: lines without an end, far over the limit")
{
    crowd_site site;
    crowd all(site.base, site.first().callers, 60);
    all.send(std::string(3 * longest, 'x'));
    site.let_send(all);
    site.let_settle();
    site.check_bounds("lines without an end");
}

TEST_CASE("crowd: lines without an end on open sessions")
{
    crowd_site site;
    crowd all(site.base, site.first().callers, 60);
    all.send(hello + "QUERY crowd READ " + std::string(3 * longest, 'x'));
    site.let_send(all);
    site.let_settle();
    site.check_bounds("lines without an end on open sessions");
}

TEST_CASE("crowd: thousands of statements sent ahead, no answer read")
{
    crowd_site site;
    crowd all(site.base, site.first().callers, 60);
    std::string many;
    for (int n = 0; n < 3000; ++n)
        many += "QUERY ahead READ item\r\nQUERY ahead SET zone " + std::string(400, 'z') + line_end;
    all.send(hello + many);
    site.let_send(all);
    site.check_bounds("sent ahead");
}

TEST_CASE("crowd: statements sent ahead, no answer read, and the answers are large")
{
    crowd_site site;
    site.group.at("b").more_rows = large_rows();
    site.group.at("c").more_rows = site.group.at("b").more_rows;
    crowd all(site.base, site.first().callers, 40);
    std::string many;
    for (int n = 0; n < 4; ++n)
        many += "QUERY ahead READ item\r\n";
    all.send(hello + many);
    site.let_send(all);
    site.let_settle();
    site.check_bounds("sent ahead, large answers");
}

TEST_CASE("crowd: readers of very few bytes at a time, and the answers are large")
{
    crowd_site site;
    site.group.at("b").more_rows = large_rows();
    site.group.at("c").more_rows = site.group.at("b").more_rows;
    crowd all(site.base, site.first().callers, 40);
    std::string many;
    for (int n = 0; n < 4; ++n)
        many += "QUERY slow READ item\r\n";
    all.send(hello + many);
    site.let_send(all);
    site.let_read_slowly(all, 16);
    site.check_bounds("slow readers");
}

TEST_CASE("crowd: sessions that send half a message and stop")
{
    crowd_site site;
    crowd all(site.base, site.first().callers, 150);
    all.send(hello + "QUERY half READ " + std::string(longest / 3 * 2, 'x'));
    site.let_send(all);
    site.let_settle();
    site.check_bounds("half messages");
}

TEST_CASE("crowd: connections that say nothing")
{
    crowd_site site;
    crowd all(site.base, site.first().callers, 500);
    site.let_settle();
    site.check_bounds("silent connections");
}

TEST_CASE("crowd: sessions that are open and rest")
{
    crowd_site site;
    crowd all(site.base, site.first().callers, 500);
    all.send(hello);
    site.let_send(all);
    site.let_settle();
    all.members.resize(50); // the others leave, without an end of their sessions
    site.check_bounds("resting sessions");
}

TEST_CASE("crowd: sessions that set values and prepare statements without end")
{
    crowd_site site;
    crowd all(site.base, site.first().callers, 100);
    for (const auto &it : all.members)
        it->read_all();
    const auto value = std::string(2000, 'v') + line_end;
    std::string many;
    for (int n = 0; n < 260; ++n) {
        const auto name = std::to_string(n);
        many.append("QUERY s SET v").append(name).append(" ").append(value);
        many.append("QUERY p PREPARE p").append(name).append(" READ ").append(value);
    }
    all.send(hello + many);
    site.let_finish(all, 520);
    site.check_bounds("session state");
}

TEST_CASE("crowd: transactions that are begun and left")
{
    crowd_site site;
    crowd all(site.base, site.first().callers, 150);
    all.send("CONNECT main crowd\r\nQUERY t BEGIN\r\nQUERY t WRITE x 1\r\n");
    site.let_send(all);
    site.check_bounds("left transactions");
}

// The home holds messages for the callers' process; a crowd there must not exceed the home's machine.
TEST_CASE("crowd: many messages of the greatest size at one process, whose homes are on two")
{
    crowd_site site(2);
    crowd all(site.base, site.first().callers, 80);
    for (const auto &it : all.members)
        it->read_all();
    all.send(hello + read_of(longest - 1000));
    site.let_finish(all, 2);
    site.check_bounds("greatest messages, two processes");
}
