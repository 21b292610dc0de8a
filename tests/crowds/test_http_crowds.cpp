// Crowds at the HTTP ports for the balancer, the operators and the metrics. Each test guards against a
// process that ends, hangs, or exceeds the memory or the descriptors of its machine.

#include "crowd_site.h"

#include <catch2/catch.hpp>

using namespace testing;

namespace {

/// The same crowd at each of the three ports.
struct http_crowds
{
    http_crowds(crowd_site &site, std::size_t members)
        : probe(site.base, site.first().probe, members), admin(site.base, site.first().admin, members),
          metrics(site.base, site.first().metrics, members)
    {
    }

    void send(const std::string &bytes)
    {
        for (auto *const it : {&probe, &admin, &metrics})
            it->send(bytes);
    }

    void let_send(crowd_site &site)
    {
        for (auto *const it : {&probe, &admin, &metrics})
            site.let_send(*it);
    }

    crowd probe;
    crowd admin;
    crowd metrics;
};

} // namespace

TEST_CASE("crowd: heads of HTTP requests without end")
{
    crowd_site site;
    http_crowds all(site, 6);
    std::string head = "GET /api/ready HTTP/1.1\r\nHost: x\r\n";
    for (int n = 0; n < 8000; ++n)
        head += "X-Field-" + std::to_string(n) + ": " + std::string(1000, 'h') + "\r\n";
    all.send(head);
    all.let_send(site);
    site.let_settle();
    site.check_bounds("HTTP heads without end");
}

TEST_CASE("crowd: bodies of HTTP requests without end")
{
    crowd_site site;
    http_crowds all(site, 10);
    all.send("POST /api/ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string body;
    for (int n = 0; n < 2000; ++n)
        body += "3e8\r\n" + std::string(1000, 'b') + "\r\n";
    all.send(body);
    all.let_send(site);
    site.let_settle();
    site.check_bounds("HTTP bodies without end");
}

TEST_CASE("crowd: HTTP connections that send half a request and stop, or close their half")
{
    crowd_site site;
    http_crowds all(site, 170);
    all.send("GET /api/ready HTTP/1.1\r\nHo");
    all.let_send(site);
    for (std::size_t n = 0; n < all.admin.members.size(); n += 2)
        all.admin.members[n]->half_close();
    site.let_settle();
    site.check_bounds("half HTTP requests");
}

TEST_CASE("crowd: HTTP requests sent ahead, no answer read")
{
    crowd_site site;
    http_crowds all(site, 8);
    std::string many;
    for (int n = 0; n < 4000; ++n)
        many += "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    all.send(many);
    all.let_send(site);
    site.let_settle();
    site.check_bounds("HTTP requests sent ahead");
}
