// Tests an entry as a process sees it: callers' requests and the operators' pages.

#include "entry/entry_task.h"

#include "http/http_client.h"
#include "support/free_address.h"
#include "support/stalled_listener.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <memory>
#include <optional>
#include <regex>
#include <sstream>

using namespace baobabport;
using testing::free_address;
using testing::run_until;

namespace {

using base_ptr = std::unique_ptr<event_base, decltype(&event_base_free)>;

settings::process_settings settings_without_poolers()
{
    settings::process_settings out;
    out.process = "entry-1";
    out.data_centre = "erie-shore";
    out.callers = free_address();
    out.operators = free_address();
    out.store = free_address();
    out.keys = {"0123456789abcdef", {}, "0123456789abcdef", {}, "0123456789abcdef", {}};
    out.databases.push_back({"db", 2, 16, {}});
    return out;
}

http::client_answer answer_to(event_base *base, const support::address &at, http::client_request request)
{
    http::http_client client(base, at);
    std::optional<http::client_answer> out;
    request.timeout = std::chrono::minutes(1);
    client.send(request, [&out](const auto &answer) { out = answer; });
    REQUIRE(run_until(base, [&] { return out.has_value(); }));
    return *out;
}

bool is_prometheus_line(const std::string &line)
{
    static const std::regex pattern(
        R"re([a-z_]+(\{[a-z_]+="([^"\\]|\\["\\n])*"(,[a-z_]+="([^"\\]|\\["\\n])*")*\})? )re"
        R"re([0-9.e+-]+)re");
    return std::regex_match(line, pattern);
}

} // namespace

// Guards against a page of metrics that cannot be read any more after one caller named a class with a quote.
TEST_CASE("the metrics of an entry remain readable whatever class a caller names")
{
    const base_ptr base(event_base_new(), event_base_free);
    const auto settings = settings_without_poolers();
    entry::entry_task entry(base.get(), settings, [] {});
    const auto *const body = R"({"class":"a\"} 1\nb\\","statement":"s"})";
    const auto answer = answer_to(base.get(), *settings.callers,
                                  {http::method_kind::post, "/v1/databases/db/statements", body, {}, {}});
    CHECK(answer.status == 503);
    const auto page =
        answer_to(base.get(), settings.operators, {http::method_kind::get, "/metrics", {}, {}, {}});
    std::istringstream lines(page.body);
    std::string line;
    int requests = 0;
    while (std::getline(lines, line)) {
        CAPTURE(line);
        CHECK(is_prometheus_line(line));
        requests +=
            line == R"(baobabport_entry_requests_total{class="a\"} 1\nb\\",verdict="not_run"} 1)" ? 1 : 0;
    }
    CHECK(requests == 1);
}

// Guards against a database that no caller could reach, since its name has to be encoded in a path.
TEST_CASE("the names in a path are decoded")
{
    const base_ptr base(event_base_new(), event_base_free);
    auto settings = settings_without_poolers();
    settings.databases.push_back({"lake shore/\xc3\xbc", 2, 16, {}});
    entry::entry_task entry(base.get(), settings, [] {});
    const auto status_of = [&](const std::string &path) {
        const auto *const body = R"({"class":"c","statement":"s"})";
        return answer_to(base.get(), *settings.callers, {http::method_kind::post, path, body, {}, {}}).status;
    };
    CHECK(status_of("/v1/databases/db/statements") == 503);
    CHECK(status_of("/v1/databases/lake%20shore%2F%C3%BC/statements") == 503);
    CHECK(status_of(
              "/v1/databases/lake%20shore%2F%C3%BC/transactions/lake%20shore%2F%C3%BC.1.2.3/statements") ==
          409);
    CHECK(status_of("/v1/databases/lake%20shore/statements") == 404);
}
