// Sends the requests of a caller to a running test site, crashes the primary, and checks the guarantees.

#include "http/blocking_client.h"
#include "support/address.h"

#include <chrono>
#include <cstdio>
#include <docopt/docopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

using namespace baobabport;
using nlohmann::json;
using std::chrono::steady_clock;

constexpr const char *usage = R"(Sends demonstration requests to a running test site and checks the answers.

Usage:
  demo-walk --database NAME --group IP:PORT ENTRY...

Options:
  --database NAME  The database to use.
  --group IP:PORT  Control address of the database's stand-in group.
)";

/// A caller with a session token that it carries from entry to entry.
class caller
{
public:
    explicit caller(std::string database) : database_(std::move(database)) {}

    json call(const char *what, const support::address &entry, const json &body)
    {
        http::client_request request;
        request.method = http::method_kind::post;
        request.path = "/v1/databases/" + database_ + "/statements";
        request.body = body.dump();
        request.timeout = std::chrono::seconds(10);
        if (!token_.empty())
            request.headers.push_back({http::session_header, token_});
        const auto began = steady_clock::now();
        const auto answer = client_.call(entry, request);
        const std::chrono::duration<double, std::milli> response_time = steady_clock::now() - began;
        if (!answer.session_token.empty())
            token_ = answer.session_token;
        auto out = json::parse(answer.body, nullptr, false);
        if (!out.is_object())
            out = json{{"verdict", "unknown"}, {"reason", "no answer"}};
        std::printf("%-34s via %-15s %-8s %7.1f ms", what, entry.text().c_str(),
                    out.value("verdict", "?").c_str(), response_time.count());
        if (out.contains("position"))
            std::printf("  by %s (%s) at %lu/%lu", out.value("served_by", "").c_str(),
                        out.value("by_replica", false) ? "replica" : "primary",
                        out["position"]["term"].get<unsigned long>() >> 16U,
                        out["position"]["offset"].get<unsigned long>());
        else
            std::printf("  %s", out.value("reason", "").c_str());
        std::printf("\n");
        return out;
    }

    json control(const support::address &group, const json &body)
    {
        const auto answer = client_.call(
            group, {http::method_kind::post, "/control", body.dump(), {}, std::chrono::seconds(2)});
        return json::parse(answer.body, nullptr, false);
    }

    json log(const support::address &group)
    {
        const auto answer =
            client_.call(group, {http::method_kind::get, "/log", {}, {}, std::chrono::seconds(2)});
        return json::parse(answer.body, nullptr, false);
    }

private:
    std::string database_;
    std::string token_;
    http::blocking_client client_;
};

int failures = 0;

void check(bool passed, const char *what)
{
    std::printf("  %s: %s\n", passed ? "kept  " : "BROKEN", what);
    failures += passed ? 0 : 1;
}

bool ran(const json &answer)
{
    return answer.value("verdict", "") == "ran";
}

json statement(const char *class_name, const char *text, const char *key, const char *value, const char *id)
{
    json out{{"class", class_name}, {"statement", text}, {"arguments", {{"key", key}}}};
    if (*value)
        out["arguments"]["value"] = value;
    if (*id)
        out["request_id"] = id;
    return out;
}

std::size_t count_in_log(const json &log, std::size_t instance, const std::string &request_id)
{
    std::size_t n = 0;
    for (const auto &it : log["instances"][instance]["log"])
        n += it["request_id"] == request_id ? 1 : 0;
    return n;
}

std::size_t primary_of(const json &state)
{
    std::size_t out = 0;
    std::uint64_t term = 0;
    for (std::size_t n = 0; n < state["instances"].size(); ++n) {
        const auto &status = state["instances"][n]["status"];
        if (status["role"] == "primary" && status["promised_term"].get<std::uint64_t>() > term) {
            term = status["promised_term"].get<std::uint64_t>();
            out = n;
        }
    }
    return out;
}

} // namespace

int main(int argc, char **argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    std::vector<support::address> entries;
    for (const auto &it : args["ENTRY"].asStringList())
        entries.push_back(*support::parse_address(it));
    const auto group = *support::parse_address(args["--group"].asString());
    caller session(args["--database"].asString());

    const auto booked = session.call("book a visit", entries[0],
                                     statement("booking", "insert", "visit/17", "booked", "demo-booking-1"));
    check(ran(booked), "the booking is acknowledged");
    const auto done = session.call("mark the install done", entries[1 % entries.size()],
                                   statement("install_done", "update", "visit/17", "done", "demo-done-1"));
    check(ran(done), "the install is acknowledged");
    const auto read = session.call("read it back", entries[2 % entries.size()],
                                   statement("visit", "select", "visit/17", "", ""));
    check(ran(read) && read["rows"].size() == 1 && read["rows"][0]["value"] == "done",
          "the caller reads its own write through another entry");
    const auto sheet = session.call(
        "pull a route sheet", entries[0],
        {{"class", "route_sheet"}, {"statement", "route_sheet"}, {"arguments", {{"prefix", "visit/"}}}});
    check(ran(sheet), "the route sheet is served");

    const auto stopped = primary_of(session.control(group, json::object()));
    std::printf("-- crashing the primary, instance %zu\n", stopped + 1);
    session.control(group, {{"crash", stopped}});
    const auto after = session.call("book again", entries[1 % entries.size()],
                                    statement("booking", "insert", "visit/18", "booked", "demo-booking-2"));
    check(ran(after), "a booking is served after the primary failed, without a manual promotion order");
    const auto repeated =
        session.call("the same booking, sent again", entries[2 % entries.size()],
                     statement("booking", "insert", "visit/18", "booked", "demo-booking-2"));
    check(ran(repeated) && repeated["position"] == after["position"],
          "the repeated call gets the first answer");
    const auto still =
        session.call("read the first visit", entries[0], statement("visit", "select", "visit/17", "", ""));
    check(ran(still) && still["rows"].size() == 1 && still["rows"][0]["value"] == "done",
          "the write acknowledged before the failure is still there");

    const auto log = session.log(group);
    const auto primary = primary_of(log);
    for (const char *id : {"demo-booking-1", "demo-done-1", "demo-booking-2"})
        check(count_in_log(log, primary, id) == 1, (std::string(id) + " is in the log once").c_str());
    std::printf("%s\n", failures == 0 ? "demo: every guarantee kept" : "demo: GUARANTEES BROKEN");
    return failures == 0 ? 0 : 1;
}
