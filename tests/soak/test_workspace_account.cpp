// The soak's account of workspaces detects statements under another name, of removed keys and above a quota.

#include "workspace_account.h"

#include <catch2/catch.hpp>

namespace {

using soak::workspace_account;
using std::chrono::milliseconds;

struct fixture
{
    explicit fixture(bool strict = false) : account({strict, true, "front-"})
    {
        account.record_state(workspace_account::workspaces{{"one", {{"k1"}, 10, 5}}, {"two", {{"k2"}, 1, 0}}},
                             at(0));
        account.record_sent("s1", "k1", false);
        account.record_sent("s2", "k2", false);
        account.record_sent("p1", "none", true);
        account.record_sent("n1", "none", false);
    }

    static workspace_account::time_point at(int ms)
    {
        return workspace_account::time_point(milliseconds(ms));
    }

    /// Returns the kind of the only violation; empty without any.
    std::string kind(const std::string &id, const std::string &name, int ms, bool quiet = true,
                     std::uint64_t transaction = 0)
    {
        const auto found = account.check(
            {"db0-a", 3, id, "READ x", {}, transaction != 0, transaction, "", name}, at(ms), quiet);
        REQUIRE(found.size() <= 1);
        return found.empty() ? "" : found.front().substr(0, found.front().find(':'));
    }

    workspace_account account;
};

} // namespace

// Guards against an account that misses statements under another name, or reports those of public routes.
TEST_CASE("only the name of the workspace that holds the key is right", "[soak]")
{
    fixture it;
    CHECK(it.kind("s1", "one", 10).empty());
    for (const auto *const name : {"two", "front-1", "", "k1", "three"})
        CHECK(it.kind("s1", name, 10, false) == "isolation");
    CHECK(it.kind("n1", "one", 10) == "isolation");
    CHECK(it.kind("p1", "front-1", 10).empty());
    CHECK(it.kind("p1", "one", 10) == "not the name of a process");
    CHECK(it.kind("-", "one", 10) == "not the name of a process");
    it.account.record_state(std::nullopt, it.at(20));
    CHECK(it.kind("s1", "front-1", 30).empty());
    CHECK(it.kind("s1", "one", 30) == "not the name of a process");
}

// Guards against an account that excuses a removed key, or reports a process that may not know of the
// removal.
TEST_CASE("a removed or moved key must be without effect after its bound", "[soak]")
{
    const bool strict = GENERATE(false, true);
    fixture it(strict);
    it.account.record_state(workspace_account::workspaces{{"one", {{"k9"}, 10, 5}}, {"two", {{"k1"}, 1, 0}}},
                            it.at(1000));
    const int bound = workspace_account::revocation_bound.count();
    const int strict_bound = workspace_account::strict_bound.count();
    CHECK(it.kind("s1", "one", 1000 + bound).empty());
    CHECK(it.kind("s1", "one", 1001 + bound) == "revocation");
    CHECK(it.kind("s2", "two", 1001 + bound) == "revocation");
    CHECK(it.kind("s1", "two", 1001 + bound).empty());
    CHECK(it.kind("s1", "one", 1001 + bound, false).empty());
    CHECK(it.kind("s1", "one", 1001 + strict_bound, false) == (strict ? "revocation" : ""));
    it.account.record_state(workspace_account::workspaces{{"one", {{"k1"}, 10, 5}}}, it.at(60000));
    CHECK(it.kind("s1", "one", 60001).empty());
}

// Guards against sessions that are admitted without a key in force, or refused with one.
TEST_CASE("the answer to a caller's key must fit the states in force", "[soak]")
{
    fixture it;
    const int bound = workspace_account::revocation_bound.count();
    const auto right = [&it](const char *key, bool admitted, int ms, bool quiet = true) {
        return it.account.check_admission(key, admitted, it.at(ms), quiet).empty();
    };
    CHECK(right("k1", true, bound + 1));
    CHECK_FALSE(right("k1", false, bound + 1));
    CHECK(right("k1", false, bound - 1)); // may not be known everywhere yet
    CHECK(right("k1", false, bound + 1, false));
    CHECK(right("none", false, 10));
    CHECK_FALSE(right("none", true, 10, false));
    it.account.record_state(workspace_account::workspaces{{"one", {{"k2"}, 10, 5}}}, it.at(10000));
    CHECK(right("k1", true, 10000 + bound));
    CHECK_FALSE(right("k1", true, 10001 + bound));
    CHECK(right("k1", true, 10001 + bound, false));
    CHECK(right("k1", false, 10001));
    CHECK_FALSE(right("k2", false, 10001)); // it only moved
    it.account.record_state(std::nullopt, it.at(20000));
    CHECK(right("any", true, 20001));
    CHECK_FALSE(right("any", false, 20001));
}

// Guards against an account that counts statements of one transaction, or forgets other processes'
// operations.
TEST_CASE("operations above the quota within one window are a violation", "[soak]")
{
    fixture it;
    // Of the workspace "two": (1 * 5 + 0) * 1.1 + 20 = 25.5 operations.
    for (int n = 0; n < 25; ++n)
        REQUIRE(it.kind("s2", "two", 100 * n).empty());
    REQUIRE(it.kind("s2", "two", 4999, true, 7) == "quota");
    fixture other;
    for (int n = 0; n < 25; ++n)
        REQUIRE(other.kind("s2", "two", 100 * n).empty());
    REQUIRE(other.kind("s2", "two", 5000, true, 7).empty()); // the first one is out of the window
    REQUIRE(other.kind("s2", "two", 5001, true, 7).empty()); // of the same transaction
    REQUIRE(other.kind("s2", "two", 5002, true, 8) == "quota");
}
