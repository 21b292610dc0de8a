// Sessions and the keys of workspaces: who is admitted, and under which name statements run.

#include "support/key_site.h"
#include "support/log_capture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace testing;
using std::chrono::milliseconds;

namespace {

/// Settings that refuse callers' keys while the state is older than the bound.
proxy::proxy_settings strict(const proxy_site &site, milliseconds bound, bool on = true)
{
    auto out = site.settings();
    out.strict_revocation = on;
    out.revocation_bound = bound;
    return out;
}

constexpr milliseconds always_outdated{1};
constexpr milliseconds never_outdated{3600000};

} // namespace

// Guards against statements that run under the name of another workspace or under that of the process.
TEST_CASE("each statement runs under the name of the workspace that holds its caller's key")
{
    key_site site;
    site.apply_keys({{"one", {"k1", "k1b"}}, {"two", {"k2"}}});
    std::vector<std::pair<std::string, std::unique_ptr<test_caller>>> callers;
    const std::vector<std::pair<std::string, std::string>> keys = {
        {"k1", "one"}, {"k2", "two"}, {"k1b", "one"}, {"k2", "two"}};
    callers.reserve(keys.size());
    for (const auto &[key, name] : keys)
        callers.emplace_back(name, site.session("main", key));
    for (const auto *const text : {"READ x", "BEGIN", "WRITE x 1", "READ x", "COMMIT", "READ x"}) {
        for (const auto &[name, caller] : callers) {
            site.group.ran.clear();
            CHECK(site.ask(*caller, text).find("ERROR") == std::string::npos);
            for (const auto &it : site.group.ran)
                CHECK(it.caller == name);
            CHECK((std::string(text) == "BEGIN") == site.group.ran.empty());
        }
    }
}

// Guards against DENIED for a database that does not exist, and against public routes that ask for a key.
TEST_CASE("an unknown key is denied, except on a public route and where there is no database")
{
    key_site site;
    site.apply_keys({{"one", {"k1"}}});
    for (const auto *const key : {"k2", "one", "k", "k11", "tester"}) {
        const auto caller = site.session("main", key);
        REQUIRE(caller->lines.size() == 1);
        CHECK(caller->lines.front().starts_with("ERROR DENIED "));
        CHECK(site.run_until([&] { return caller->closed; }));
        CHECK(site.session("none", key)->lines.front().starts_with("ERROR NODB "));
        const auto open = site.session("open", key);
        CHECK(open->lines.front() == "READY I -");
        CHECK(site.ask(*open, "READ x").starts_with("ROW "));
        CHECK(site.group.ran.back().caller == "front-1");
    }
    CHECK(site.session("none", "k1")->lines.front().starts_with("ERROR NODB "));
    // With a valid key, too, a statement of a public route belongs to no workspace.
    CHECK(site.ask(*site.session("open", "k1"), "READ x").starts_with("ROW "));
    CHECK(site.group.ran.back().caller == "front-1");
}

// Guards against a change for deployments without workspaces, and against a list that is taken back.
TEST_CASE("without a list of workspaces any key is served, and an empty list denies all")
{
    key_site site;
    const auto before = site.session("main", "k1");
    CHECK(site.ask(*before, "READ x").starts_with("ROW "));
    CHECK(site.group.ran.back().caller == "front-1");
    site.apply_keys({{"one", {"k1"}}});
    CHECK(site.ask(*before, "READ x").starts_with("ROW "));
    CHECK(site.group.ran.back().caller == "one");
    site.configure(site.next_version());
    REQUIRE(site.run_until([&] { return site.session("main", "any")->lines.front() == "READY I -"; }));
    CHECK(site.ask(*before, "READ x").starts_with("ROW "));
    CHECK(site.group.ran.back().caller == "front-1");
    site.configure_keys(site.next_version(), {});
    CHECK(site.run_until([&] { return before->closed; }));
    CHECK(site.session("main", "k1")->lines.front().starts_with("ERROR DENIED "));
}

// Guards against a caller without a key that goes on after workspaces, or the need of a key, came into force.
TEST_CASE("a session without a workspace ends once its route needs a key that it does not have")
{
    key_site site;
    const auto idle = site.session("main", "none");
    const auto in_transaction = site.session("main", "none");
    site.ask(*in_transaction, "BEGIN");
    site.ask(*in_transaction, "WRITE x 1");
    const auto admitted = site.session("main", "k1");
    site.ask(*admitted, "BEGIN");
    site.ask(*admitted, "WRITE x 2");
    site.apply_keys({{"one", {"k1"}}});
    CHECK(site.run_until([&] { return idle->closed; }));
    CHECK(site.run_until([&] { return site.group.at("a").open_transactions() == 0; }));
    CHECK(site.ask(*in_transaction, "COMMIT").starts_with("ERROR DENIED "));
    CHECK(site.ask(*admitted, "COMMIT").starts_with("ERROR ABORTED "));
    CHECK(site.ask(*admitted, "READ x").starts_with("ROW none|"));
    CHECK(site.group.ran.back().caller == "one");
}

// Guards against keys that outlive their removal at a process out of touch, and against a transaction that
// stays open at its instance after ABORTED.
TEST_CASE("with strict revocation, nothing that needs a key runs while the state is too old")
{
    key_site site;
    site.apply_keys({{"one", {"k1"}}});
    const auto writer = site.session("main", "k1");
    const auto committer = site.session("main", "k1");
    for (const auto &it : {writer.get(), committer.get()}) {
        site.ask(*it, "BEGIN");
        CHECK(site.ask(*it, "WRITE x-" + std::to_string(it == writer.get()) + " 1").starts_with("COMPLETE"));
    }
    const auto open = site.session("open", "none");
    site.proxy->reload(strict(site, never_outdated));
    CHECK(site.ask(*writer, "READ x").starts_with("ROW "));
    site.store->faults.unresponsive = true;
    site.proxy->reload(strict(site, always_outdated));
    CHECK(site.ask(*writer, "READ x").starts_with("ERROR ABORTED "));
    CHECK(writer->lines.back() == "READY E -");
    CHECK(site.ask(*committer, "COMMIT").starts_with("ERROR ABORTED "));
    CHECK(committer->lines.back() == "READY I -");
    CHECK(site.run_until([&] { return site.group.at("a").open_transactions() == 0; }));
    CHECK(site.ask(*committer, "READ x").starts_with("ERROR BUSY "));
    CHECK(site.ask(*committer, "BEGIN").starts_with("ERROR BUSY "));
    CHECK(site.session("main", "k1")->lines.front().starts_with("ERROR BUSY "));
    CHECK(site.ask(*open, "READ x").starts_with("ROW "));
    site.proxy->reload(strict(site, always_outdated, false));
    CHECK(site.ask(*committer, "READ x").starts_with("ROW none|"));
    CHECK(site.ask(*writer, "ROLLBACK").starts_with("COMPLETE"));
}

// Guards against keys where operators and their tools read: logs, metrics, the state and errors.
TEST_CASE("no key appears in the log, the metrics, the state or an answer")
{
    const std::string secret = "S3cret-key";
    const log_capture log;
    key_site site;
    site.apply_keys({{"one", {secret + "-1"}}, {"two", {secret + "-2"}}});
    std::string answers;
    const auto kept = site.session("main", secret + "-1");
    answers += site.ask(*kept, "READ x") + site.ask(*kept, "SELECT 1") + site.ask(*kept, "BEGIN");
    for (const auto &key : {secret + "-unknown", secret + " and more", std::string(5000, 'x') + secret}) {
        for (const auto *const database : {"main", "none", "open"}) {
            const auto caller = site.session(database, key);
            for (const auto &it : caller->lines)
                answers += it;
        }
    }
    site.apply_keys({{"one", {}}, {"two", {secret + "-2"}}});
    answers += site.ask(*kept, "COMMIT");
    site.store->put("op/config", R"({"tenants":[{"name":"a","api_keys":[")" + secret + "\x01\"]}]}");
    CHECK(site.run_until([&] { return log.count("desired_state_unreadable") == 1; }));
    site.store->put("op/config", R"({"version":901,"tenants":")" + secret + "\"}");
    CHECK(site.run_until([&] { return log.count("desired_state_unreadable") == 2; }));
    const auto seen = log.text() + answers + site.admin_page("/metrics") + site.admin_page("/v1/state");
    CHECK(log.count("key_removed") == 1);
    CHECK(log.count("session_refused") > 0);
    CHECK(seen.find("baobabport_sessions_refused_total") != std::string::npos);
    CHECK(seen.find("desired_state_version") != std::string::npos);
    CHECK(seen.find(secret) == std::string::npos);
}
