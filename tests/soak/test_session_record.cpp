// The soak's record of a session counts only what was acknowledged, and its random texts fit in one line.

#include "session_record.h"
#include "session_texts.h"

#include <catch2/catch.hpp>
#include <set>

namespace {

struct fixture
{
    soak::statement_account account;
    soak::session_record record{account, "s1"};

    void answered(const std::string &text, bool succeeded = true, bool ends_transaction = true)
    {
        record.record_sent(text, text);
        record.record_answer(succeeded, ends_transaction);
    }

    /// Sends an `EXECUTE` of the name `s1` and returns true if the instance may run it so.
    bool allows(const std::map<std::string, std::string> &values, const std::string &shape,
                std::uint64_t transaction = 0)
    {
        const auto id = "e" + std::to_string(++last_id);
        record.record_sent(id, "EXECUTE s1 i");
        return account.check({"db0-a", 1, id, "EXECUTE p1 i", values, transaction != 0, transaction, shape})
            .empty();
    }

    int last_id = 0;
};

} // namespace

TEST_CASE("a statement has the state that was acknowledged before it was sent", "[soak]")
{
    fixture it;
    it.answered("SET v1  a ");
    it.answered("SET v2 ");
    it.answered("SET v2 b", false);
    it.answered("PREPARE s1 READ q2c  READ ulwqrp ");
    it.answered("PREPARE s1 WRITE q2c", false);
    REQUIRE(it.allows({{"v1", " a "}, {"v2", ""}}, "READ q2c  READ ulwqrp "));
    it.answered("SET v1 c");
    it.answered("CLOSE s1", false);
    REQUIRE(it.allows({{"v1", "c"}, {"v2", ""}}, "READ q2c  READ ulwqrp "));
    it.answered("CLOSE s1");
    REQUIRE(it.record.prepared().empty());
    it.record.begin();
    it.answered("PREPARE s1 WRITE q2c");
    REQUIRE(it.allows({}, "WRITE q2c"));
}

TEST_CASE("a transaction lasts from its acknowledged BEGIN to the state I", "[soak]")
{
    fixture it;
    it.answered("PREPARE s1 READ q2c");
    it.answered("BEGIN", false);
    REQUIRE(it.allows({}, "READ q2c"));
    it.answered("BEGIN", true, false);
    REQUIRE(it.allows({}, "READ q2c", 7));
    it.answered("SET v1 a", true, false);
    REQUIRE(it.allows({{"v1", "a"}}, "READ q2c", 7));
    it.answered("ROLLBACK");
    REQUIRE(it.allows({{"v1", "a"}}, "READ q2c"));
}

TEST_CASE("random shapes are valid, repeat themselves and have blanks at every place", "[soak]")
{
    std::mt19937_64 random(1);
    constexpr int draws = 1000;
    std::set<std::string> shapes;
    for (int n = 0; n < draws; ++n) {
        const auto shape = soak::random_shape(random);
        REQUIRE(!shape.empty());
        REQUIRE(shape.find("\r\n") == std::string::npos);
        shapes.insert(shape);
    }
    REQUIRE(shapes.size() < draws / 4);
    for (const auto *const it : {"q2c", " q2c", "q2c ", "q2c READ ulwqrp", "q2c  READ ulwqrp", "\xff\xfe"})
        REQUIRE(shapes.count(it) == 1);
}

TEST_CASE("a random EXECUTE uses a name of the kind that the statement needs", "[soak]")
{
    fixture it;
    it.answered("PREPARE s1 READ READ x");
    it.answered("PREPARE s2 WRITE READ x");
    std::mt19937_64 random(1);
    std::set<std::string> texts;
    constexpr int draws = 100;
    for (int n = 0; n < draws; ++n) {
        texts.insert(soak::random_statement(it.record, "i", "", random));
        texts.insert(soak::random_statement(it.record, "i", "1", random));
    }
    REQUIRE(texts == std::set<std::string>{"EXECUTE s1 i", "EXECUTE s2 i 1", "READ i", "WRITE i 1"});
}
