// Lookups of the workspaces that keys identify.

#include "workspace/key_index.h"

#include <catch2/catch.hpp>

using namespace baobabport;
using workspace::hash_of_key;

namespace {

directory::desired_state state_of(std::vector<directory::workspace> workspaces)
{
    directory::desired_state out;
    out.workspaces = std::move(workspaces);
    return out;
}

} // namespace

// Guards against a state without workspaces that refuses callers, and one with an empty list that serves
// them.
TEST_CASE("keys are required if the state has a list of workspaces, even an empty one")
{
    workspace::key_index index;
    CHECK_FALSE(index.required());
    index.apply(state_of({}));
    CHECK(index.required());
    CHECK_FALSE(index.find(hash_of_key("k1")));
    CHECK_FALSE(index.find(hash_of_key("")));
    index.apply({});
    CHECK_FALSE(index.required());
}

// Guards against keys of an earlier state that still identify a workspace.
TEST_CASE("a new state replaces all keys, and a key may move")
{
    workspace::key_index index;
    index.apply(state_of({{"one", {hash_of_key("k1"), hash_of_key("k2")}, {}}, {"two", {}, {}}}));
    REQUIRE(index.find(hash_of_key("k1")));
    const auto held = index.find(hash_of_key("k1"));
    CHECK(held->name == "one");
    CHECK(index.size() == 2);
    CHECK(index.find_name("two"));
    index.apply(state_of({{"two", {hash_of_key("k1")}, {}}}));
    REQUIRE(index.find(hash_of_key("k1")));
    CHECK(index.find(hash_of_key("k1"))->name == "two");
    CHECK_FALSE(index.find(hash_of_key("k2")));
    CHECK_FALSE(index.find_name("one"));
    CHECK(held->name == "one"); // a holder may outlive the state
}

// Guards against a caller that presents a hash in place of the key, for example one from a message or a log.
TEST_CASE("neither the hash of a key nor its first digits serve as a key")
{
    workspace::key_index index;
    const auto hash = hash_of_key("k1");
    index.apply(state_of({{"one", {hash}, {}}}));
    for (const auto &presented : {hash, "sha256:" + hash, workspace::short_hash(hash), std::string()})
        CHECK_FALSE(index.find(hash_of_key(presented)));
    CHECK(hash.size() == 64);
    CHECK(workspace::short_hash(hash) == hash.substr(0, 8));
    // Of another program: printf abc | sha256sum
    CHECK(hash_of_key("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
