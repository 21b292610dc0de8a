// Answers of instances: what is kept of those that are too long.

#include "session/messages.h"

#include <catch2/catch.hpp>

using namespace baobabport::session;

namespace {

statement_answer success_of(std::size_t rows, std::size_t row_size)
{
    statement_answer out;
    for (std::size_t n = 0; n < rows; ++n)
        out.add_row(std::string(row_size, 'x'));
    out.receipt = "mac";
    out.finish({});
    return out;
}

} // namespace

TEST_CASE("an answer is complete up to the maximum size and dropped above it")
{
    constexpr std::size_t rows = 64;
    constexpr std::size_t row_size = statement_answer::max_size / rows - statement_answer::row_overhead - 1;
    const auto whole = success_of(rows, row_size);
    CHECK_FALSE(whole.cut);
    CHECK_FALSE(whole.error);
    CHECK(whole.rows.size() == rows);
    CHECK(whole.receipt == "mac");
    const auto cut = success_of(rows + 1, row_size);
    CHECK(cut.cut);
    REQUIRE(cut.error);
    CHECK(cut.error->code == answer_code::failed);
    CHECK(cut.rows.empty());
    CHECK(cut.receipt.empty());
    CHECK(success_of(statement_answer::max_size / statement_answer::row_overhead + 1, 0).cut);
}

TEST_CASE("an error after rows is reported without them, however many they were")
{
    statement_answer it;
    it.add_row(std::string(statement_answer::max_size, 'x'));
    it.error = failure{answer_code::lagging, "i-1"};
    it.finish({});
    CHECK_FALSE(it.cut);
    CHECK(it.rows.empty());
    CHECK(it.error->code == answer_code::lagging);
}

// Guards against an answer to the caller that is longer than a message: the proxy adds words to the text.
TEST_CASE("the text of an error is cut")
{
    statement_answer it;
    it.error = failure{answer_code::failed, std::string(std::size_t{1024} * 1024, 'x')};
    it.finish({});
    CHECK(it.error->text.size() == statement_answer::max_error_text);
    it.error->text = "i-1";
    it.finish({});
    CHECK(it.error->text == "i-1");
}
