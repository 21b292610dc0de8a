// Setup of shared connections: an instance that follows the protocol has the state of each session in turn.

#include "session/connection_state.h"

#include "platform/line_codec.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace baobabport;
using session::connection_setup;
using session::connection_state;
using session::prepared_statement;
using session::session_values;

namespace {

/// What an instance keeps for a connection, by the grammar of the protocol: a name ends at the first blank,
/// the last field of a message at its end.
struct instance_session
{
    void apply(const connection_setup &setup)
    {
        if (setup.reset) {
            values.clear();
            prepared.clear();
        }
        for (const auto &name : setup.close)
            REQUIRE(prepared.erase(name) == 1);
        for (const auto &[name, value] : setup.values)
            store(platform::set_text(name, value), "SET ", values);
        if (setup.prepare)
            store(platform::prepare_text(*setup.prepare), "PREPARE ", prepared);
    }

    static void store(std::string text, const std::string &word, std::map<std::string, std::string> &to)
    {
        REQUIRE(text.starts_with(word));
        text.erase(0, word.size());
        const auto blank = text.find(' ');
        REQUIRE(blank != std::string::npos);
        to[text.substr(0, blank)] = text.substr(blank + 1);
    }

    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared; ///< kind and shape by name
};

std::string kind_and_shape(const prepared_statement &it)
{
    return (it.writes ? "WRITE " : "READ ") + it.shape;
}

} // namespace

// Guards against UNASKED and PINNED: a shape's later words in a statement, another shape under its name.
TEST_CASE("each session finds its own values and shapes on a connection that others have used")
{
    // Few names and words, so that sessions often share a part of what they set up.
    const auto words = rc::gen::container<std::string>(
        rc::gen::element('q', 'p', '1', '2', ' ', ' ', '\r', '\n', '\xff', '_', 'W', 'R'));
    const auto names = rc::gen::element<std::string>("zone", "tag", "p1", "q");
    const auto settings = rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
        rc::gen::pair(names, rc::gen::element<std::string>("", "1", "2 ", " x y")));
    // Half of the shapes are of a few, so that sessions often share them, or all but the kind.
    const auto shapes = rc::gen::oneOf(rc::gen::element<std::string>("", "q ", "q READ "), words);
    const auto uses = rc::gen::container<
        std::vector<std::tuple<std::vector<std::pair<std::string, std::string>>, bool, std::string, bool>>>(
        rc::gen::tuple(settings, rc::gen::arbitrary<bool>(), shapes, rc::gen::arbitrary<bool>()));
    setenv("RC_PARAMS", "seed=20261206 max_success=150", 0); // makes runs reproducible
    const bool passed = rc::check([&] {
        connection_state state;
        instance_session instance;
        std::map<std::string, std::string> shape_by_name; // a name stands for one shape, also after a reset
        for (const auto &[set, writes, shape, forgotten] : *uses) {
            session_values values;
            for (const auto &[name, value] : set)
                values[name] = value;
            const prepared_statement prepared{writes, shape + 'q'}; // an empty shape cannot be prepared
            if (forgotten)
                state.forget(prepared);
            instance.apply(state.require(values, prepared, false));
            RC_ASSERT(instance.values == values);
            const auto &name = state.name_of(prepared);
            RC_ASSERT(!name.empty());
            RC_ASSERT(name.find(' ') == std::string::npos);
            RC_ASSERT(instance.prepared.at(name) == kind_and_shape(prepared));
            RC_ASSERT(shape_by_name.emplace(name, kind_and_shape(prepared)).first->second ==
                      kind_and_shape(prepared));
        }
    });
    CHECK(passed);
}

TEST_CASE("what a connection has already is not set up again")
{
    connection_state state;
    const prepared_statement prepared{true, "q1"};
    CHECK_FALSE(state.require({{"zone", "erie"}}, prepared, false).empty());
    CHECK(state.require({{"zone", "erie"}}, prepared, false).empty());
    CHECK(state.require({{"zone", "erie"}}, std::nullopt, false).empty());
    const auto changed = state.require({{"zone", "huron"}}, prepared, false);
    CHECK(changed.values == session_values{{"zone", "huron"}});
    CHECK_FALSE(changed.reset);
    CHECK_FALSE(changed.prepare);
}

TEST_CASE("a statement that an instance does not know is prepared again under a new name")
{
    connection_state state;
    const prepared_statement prepared{false, "q1"};
    const auto first = state.require({}, prepared, false);
    state.forget(prepared);
    const auto second = state.require({}, prepared, false);
    REQUIRE(second.prepare);
    CHECK(second.prepare->name != first.prepare->name);
    CHECK(state.name_of(prepared) == second.prepare->name);
}

TEST_CASE("values of other sessions are removed by a reset, and never within a transaction")
{
    connection_state state;
    (void)state.require({{"zone", "erie"}}, std::nullopt, false);
    CHECK_FALSE(state.require({{"tag", "1"}}, std::nullopt, true).reset);
    const auto setup = state.require({{"tag", "1"}}, prepared_statement{false, "q1"}, false);
    CHECK(setup.reset);
    CHECK(setup.values == session_values{{"tag", "1"}});
    CHECK(setup.prepare);
}
