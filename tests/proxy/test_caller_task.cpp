// Sessions of callers: what is read from them, and how they end.

#include "support/proxy_site.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace testing;
using std::chrono::milliseconds;

// Guards against data that is cut off at a line feed, in statements and in rows.
TEST_CASE("data with a line feed is written and read back whole")
{
    proxy_site site;
    const auto caller = site.session("main");
    const std::string note = "two\nQUERY 7 WRITE y smuggled";
    CHECK(site.ask(*caller, "WRITE x " + note).starts_with("COMPLETE mac"));
    CHECK(site.ask(*caller, "READ x").starts_with("ROW " + note + "|COMPLETE"));
    CHECK(std::none_of(site.group.ran.begin(), site.group.ran.end(),
                       [](const auto &it) { return it.id == "7"; }));
}
