// Tests how the answers of instances are read.

#include "pooler/upstream_json.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace baobabport;

namespace {

home::call_outcome outcome_with_rows(const std::string &rows)
{
    const nlohmann::json body{{"call", 1}, {"outcome", "ran"}, {"reason", ""},     {"rows", rows},
                              {"term", 1}, {"offset", 1},      {"repeated", false}};
    http::client_answer answer;
    answer.failure = http::client_failure::none;
    answer.status = 200;
    answer.body = body.dump();
    return pooler::read_statement_answer(answer, 1).outcome;
}

} // namespace

// Guards against rows that are not JSON: the caller got a body that it could not read, with status 200.
TEST_CASE("an answer of an instance whose rows are not JSON counts as lost")
{
    CHECK(outcome_with_rows("") == home::call_outcome::ran);
    CHECK(outcome_with_rows("[]") == home::call_outcome::ran);
    CHECK(outcome_with_rows(R"([{"key":"k","value":"v"}])") == home::call_outcome::ran);
    CHECK(outcome_with_rows("[{") == home::call_outcome::lost);
    CHECK(outcome_with_rows("row") == home::call_outcome::lost);
}
