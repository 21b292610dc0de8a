// The soak's account of session state detects statements that ran with another text, state or transaction.

#include "statement_account.h"

#include <catch2/catch.hpp>

namespace {

using soak::statement_account;
using standin::ran_statement;

/// A caller's statement in an instance's record, by default as the caller of `fixture` sends it.
ran_statement ran(const std::string &id, const std::string &text, std::uint64_t transaction = 0)
{
    return {"db0-a", 3, id, text, {{"tag", "s1"}}, transaction != 0, transaction, ""};
}

struct fixture
{
    statement_account account;

    void send(const std::string &id, const std::string &text, std::uint64_t transaction = 0,
              const std::string &shape = "")
    {
        account.record_sent(id, {"s1", text, {{"tag", "s1"}}, shape, transaction});
    }

    /// Returns the kind of the only violation; empty without any.
    std::string kind(const ran_statement &it)
    {
        const auto found = account.check(it);
        REQUIRE(found.size() <= 1);
        return found.empty() ? "" : found.front().substr(0, found.front().find_first_of(":("));
    }

    std::string kind_of_execute(const std::string &text, const std::string &shape)
    {
        auto it = ran("e", text);
        it.shape = shape;
        return kind(it);
    }
};

} // namespace

TEST_CASE("a statement that ran as it was sent is no violation", "[soak]")
{
    fixture it;
    it.send("a", "WRITE db0:s1.1 1");
    REQUIRE(it.kind(ran("a", "WRITE db0:s1.1 1")).empty());
}

TEST_CASE("the proxy's own statements are not checked", "[soak]")
{
    fixture it;
    REQUIRE(it.kind(ran("-", "READ x")).empty());
}

TEST_CASE("a statement that nobody sent is a violation", "[soak]")
{
    fixture it;
    REQUIRE(it.kind(ran("b", "READ x")) == "nobody sent it");
}

TEST_CASE("a changed text is a violation", "[soak]")
{
    fixture it;
    it.send("a", "READ db0:s1.1");
    REQUIRE(it.kind(ran("a", "READ db0:s1.2")) == "text changed");
    REQUIRE(it.kind(ran("a", "READ  db0:s1.1")) == "text changed");
    REQUIRE(it.kind(ran("a", "READ db0:s1.1 ")) == "text changed");
}

TEST_CASE("only the name of an EXECUTE may be changed", "[soak]")
{
    const auto sent = GENERATE(std::string("EXECUTE s1 i \xff 7 "), std::string("EXECUTE s1  i\n7"));
    const auto rest = sent.substr(std::string("EXECUTE s1").size());
    fixture it;
    it.send("e", sent, 0, "WRITE q2c");
    const auto run = [&it](const std::string &text) {
        it.account = {};
        it.send("e", text, 0, "WRITE q2c");
    };
    REQUIRE(it.kind_of_execute("EXECUTE p17" + rest, "WRITE q2c").empty());
    run(sent);
    REQUIRE(it.kind_of_execute("EXECUTE p17 READ" + rest, "WRITE q2c") == "text changed");
    run(sent);
    REQUIRE(it.kind_of_execute("EXECUTE p17" + rest + ' ', "WRITE q2c") == "text changed");
    run(sent);
    REQUIRE(it.kind_of_execute("EXECUTE" + rest, "WRITE q2c") == "text changed");
    run(sent);
    REQUIRE(it.kind_of_execute("WRITE p17" + rest, "WRITE q2c") == "text changed");
}

TEST_CASE("an EXECUTE of another shape or kind is a violation", "[soak]")
{
    const auto shape = GENERATE("WRITE q2c", "READ q2c ", "READ  q2c", "READ q2c READ ulwqrp", "");
    fixture it;
    it.send("e", "EXECUTE s1 i", 0, "READ q2c");
    REQUIRE(it.kind_of_execute("EXECUTE p1 i", shape) == "other shape");
}

TEST_CASE("missing, different and additional values are violations", "[soak]")
{
    using values = std::map<std::string, std::string>;
    const auto found = GENERATE(values{}, values{{"tag", "s2"}}, values{{"tag", "s1"}, {"v1", ""}});
    fixture it;
    it.send("a", "READ i");
    auto run = ran("a", "READ i");
    run.values = found;
    REQUIRE(it.kind(run) == "other values");
}

TEST_CASE("a violation names what was sent and what ran", "[soak]")
{
    fixture it;
    it.send("e", "EXECUTE s1 i 7", 0, "WRITE q2c READ ulwqrp");
    auto run = ran("e", "EXECUTE w_q2c READ ulwqrp i 7");
    run.shape = "WRITE q2c READ ulwqrp";
    const auto found = it.account.check(run);
    REQUIRE(found ==
            std::vector<std::string>{
                "text changed: statement e of s1 sent 'EXECUTE s1 i 7' shape 'WRITE q2c READ ulwqrp' values "
                "{'tag'='s1'} outside any transaction; ran 'EXECUTE w_q2c READ ulwqrp i 7' shape 'WRITE q2c "
                "READ ulwqrp' values {'tag'='s1'} on db0-a connection 3"});
}

TEST_CASE("bytes that are not printable are escaped", "[soak]")
{
    REQUIRE(soak::quoted("a b\r\n\xff") == "'a b\\x0d\\x0a\\xff'");
}

TEST_CASE("a read outside transactions may be repeated, a write may not", "[soak]")
{
    fixture it;
    it.send("r", "READ i");
    it.send("w", "WRITE i 1");
    it.send("e", "EXECUTE s1 i 1", 0, "WRITE q2c");
    REQUIRE(it.kind(ran("r", "READ i")).empty());
    REQUIRE(it.kind(ran("r", "READ i")).empty());
    REQUIRE(it.kind(ran("w", "WRITE i 1")).empty());
    REQUIRE(it.kind(ran("w", "WRITE i 1")) == "ran again");
    REQUIRE(it.kind_of_execute("EXECUTE p1 i 1", "WRITE q2c").empty());
    REQUIRE(it.kind_of_execute("EXECUTE p1 i 1", "WRITE q2c") == "ran again");
}

TEST_CASE("a transaction's statements run in one transaction of one instance", "[soak]")
{
    fixture it;
    const auto number = it.account.begin_transaction();
    it.send("a", "WRITE i 1", number);
    it.send("b", "WRITE j 1", number);
    it.send("c", "COMMIT", number);
    REQUIRE(it.kind(ran("a", "WRITE i 1", 5)).empty());
    SECTION("which is no violation")
    {
        REQUIRE(it.kind(ran("b", "WRITE j 1", 5)).empty());
        REQUIRE(it.kind(ran("c", "COMMIT", 5)).empty());
        REQUIRE(it.kind(ran("c", "COMMIT", 5)) == "ran again");
    }
    SECTION("and not outside any")
    {
        REQUIRE(it.kind(ran("b", "WRITE j 1")) == "outside its transaction");
    }
    SECTION("and not in another one of the same connection")
    {
        REQUIRE(it.kind(ran("b", "WRITE j 1", 6)) == "not where its transaction is");
    }
    SECTION("and not on another connection")
    {
        auto other = ran("b", "WRITE j 1", 5);
        other.connection = 4;
        REQUIRE(it.kind(other) == "not where its transaction is");
    }
    SECTION("and not on another instance")
    {
        auto other = ran("b", "WRITE j 1", 5);
        other.instance = "db0-b";
        REQUIRE(it.kind(other) == "not where its transaction is");
    }
}

TEST_CASE("the first statement of a transaction may be repeated in a new one", "[soak]")
{
    fixture it;
    const auto number = it.account.begin_transaction();
    it.send("a", "WRITE i 1", number);
    it.send("b", "WRITE j 1", number);
    it.send("c", "COMMIT", number);
    auto elsewhere = ran("a", "WRITE i 1", 9);
    elsewhere.instance = "db0-b";
    REQUIRE(it.kind(ran("a", "WRITE i 1", 5)).empty());
    REQUIRE(it.kind(ran("a", "WRITE i 1", 5)) == "repeated within its transaction");
    REQUIRE(it.kind(elsewhere).empty());
    REQUIRE(it.kind(ran("b", "WRITE j 1", 5)).empty());
    auto commit = ran("c", "COMMIT", 9);
    commit.instance = "db0-b";
    REQUIRE(it.kind(commit) == "not where its transaction is ");
    // The answer to an attempt was lost, and it runs after the statement was repeated.
    REQUIRE(it.kind(ran("a", "WRITE i 1", 11)).empty());
}

TEST_CASE("a statement inside another caller's transaction is a violation", "[soak]")
{
    fixture it;
    const auto number = it.account.begin_transaction();
    const auto other = it.account.begin_transaction();
    it.send("a", "WRITE i 1", number);
    it.send("b", "WRITE j 1", other);
    it.send("c", "READ i");
    REQUIRE(it.kind(ran("a", "WRITE i 1", 5)).empty());
    REQUIRE(it.kind(ran("b", "WRITE j 1", 5)) == "inside another transaction ");
    REQUIRE(it.kind(ran("c", "READ i", 5)) == "inside another transaction ");
    REQUIRE(it.kind(ran("c", "READ i", 6)) == "inside another transaction");
}

TEST_CASE("a SET or PREPARE is not the first statement of a transaction", "[soak]")
{
    fixture it;
    const auto number = it.account.begin_transaction();
    it.send("p", "PREPARE s1 READ q2c", number);
    it.send("a", "READ i", number);
    it.send("b", "READ j", number);
    REQUIRE(it.kind(ran("a", "READ i", 5)).empty());
    REQUIRE(it.kind(ran("b", "READ j", 6)) == "not where its transaction is");
}
