// Tests of applying a document change: concurrent operators, lost answers and outages at each step.

#include "document/document_cache.h"
#include "document/document_change.h"
#include "document/document_reader.h"
#include "document/text_merge.h"
#include "store_model.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>

using namespace baobabport::document;

namespace {

using time_point = std::chrono::steady_clock::time_point;

const std::string base_text = R"({
  "database": "db",
  "classes": {
    "booking": {"access": "write", "deadline_ms": 2000},
    "between": {"access": "read", "deadline_ms": 1000},
    "sheet": {"access": "read", "deadline_ms": 3000}
  }
}
)";

std::string with(const std::string &text, const std::string &from, const std::string &to)
{
    auto out = text;
    out.replace(out.find(from), from.size(), to);
    return out;
}

/// The fault injected into one call to the store.
enum class store_fault
{
    none,
    no_answer,
    lost_answer,
    raced
};

/// A store model with a fault in its nth call.
struct faulty_store
{
    standin::store_model model;
    int calls = 0;
    int faulty_call = -1;
    store_fault fault = store_fault::none;
    std::string raced_text;

    bool fails_with(store_fault kind) const { return calls == faulty_call && fault == kind; }

    std::optional<stored_document> read()
    {
        ++calls;
        if (fails_with(store_fault::no_answer) || fails_with(store_fault::lost_answer))
            return std::nullopt;
        const auto it = model.read("documents/db", time_point{});
        if (!it)
            return stored_document{};
        return stored_document{it->revision, *read_envelope(it->text)};
    }

    /// Returns the new revision, 0 if the store has another revision than expected, or none without an
    /// answer.
    std::optional<std::uint64_t> write(std::uint64_t expected, const std::string &value)
    {
        ++calls;
        if (fails_with(store_fault::raced))
            put_directly(raced_text, "other");
        if (fails_with(store_fault::no_answer))
            return std::nullopt;
        const auto revision =
            model.compare_and_swap("documents/db", expected, value, std::nullopt, time_point{});
        if (fails_with(store_fault::lost_answer))
            return std::nullopt;
        return revision.value_or(0);
    }

    void put_directly(const std::string &text, const std::string &id)
    {
        const auto it = model.read("documents/db", time_point{});
        document_envelope envelope;
        if (it)
            envelope = *read_envelope(it->text);
        envelope.text = text;
        envelope.add({id, "somebody", "", 0});
        model.compare_and_swap("documents/db", it ? it->revision : 0, write_envelope(envelope), std::nullopt,
                               time_point{});
    }

    std::string text() { return read_envelope(model.read("documents/db", time_point{})->text)->text; }

    std::size_t times_changed_by(const std::string &id)
    {
        std::size_t n = 0;
        const auto envelope = read_envelope(model.read("documents/db", time_point{})->text);
        for (const auto &it : envelope->changes)
            n += it.id == id ? 1 : 0;
        return n;
    }
};

enum class apply_result
{
    accepted,
    refused,
    not_accepted,
    unclear
};

/// Applies a change in the same way as the command line, on the faulty store.
apply_result apply(faulty_store &store, const std::string &text)
{
    const auto seen = store.read();
    if (!seen)
        return apply_result::not_accepted;
    const document_change change("db", *seen, text, {"mine", "me", "", 0});
    auto present = *seen;
    bool wrote = false;
    for (int n = 0; n < 5; ++n) {
        const auto decision = change.decide(present);
        if (decision.outcome == change_outcome::already_applied ||
            decision.outcome == change_outcome::unchanged)
            return apply_result::accepted;
        if (decision.outcome != change_outcome::write)
            return apply_result::refused;
        const auto revision = store.write(decision.expected_revision, decision.value);
        if (revision && *revision > 0)
            return apply_result::accepted;
        wrote = wrote || !revision;
        const auto again = store.read();
        if (!again)
            return wrote ? apply_result::unclear : apply_result::not_accepted;
        present = *again;
    }
    return apply_result::unclear;
}

const std::string mine = with(base_text, "\"deadline_ms\": 2000", "\"deadline_ms\": 1500");
const std::string theirs_elsewhere = with(base_text, "\"deadline_ms\": 3000", "\"deadline_ms\": 4000");
const std::string theirs_same_line = with(base_text, "\"deadline_ms\": 2000", "\"deadline_ms\": 900");

} // namespace

TEST_CASE("each fault at each store call of an apply: a change reported accepted is stored exactly once")
{
    std::size_t cells = 0;
    for (const auto fault :
         {store_fault::none, store_fault::no_answer, store_fault::lost_answer, store_fault::raced}) {
        for (const auto &raced_text : {theirs_elsewhere, theirs_same_line}) {
            for (int call = 1; call <= 4; ++call) {
                faulty_store store;
                store.put_directly(base_text, "first");
                store.fault = fault;
                store.faulty_call = call;
                store.raced_text = raced_text;
                const auto outcome = apply(store, mine);
                ++cells;
                INFO("fault " << static_cast<int>(fault) << " at call " << call);
                const bool there = store.times_changed_by("mine") == 1;
                const bool is_active = store.text().find("1500") != std::string::npos;
                CHECK(store.times_changed_by("mine") <= 1);
                if (outcome == apply_result::accepted)
                    CHECK((there && is_active));
                if (outcome == apply_result::refused || outcome == apply_result::not_accepted)
                    CHECK_FALSE(there);
                if (fault == store_fault::raced && call == 2) {
                    // The other operator's change is kept in both cases.
                    CHECK(store.times_changed_by("other") == 1);
                    const bool merges = raced_text == theirs_elsewhere;
                    CHECK(outcome == (merges ? apply_result::accepted : apply_result::refused));
                    CHECK((store.text().find(merges ? "4000" : "900") != std::string::npos));
                }
            }
        }
    }
    CHECK(cells == 32);
}

TEST_CASE("a merged text that violates a guarantee is refused")
{
    faulty_store store;
    store.put_directly(
        with(base_text, "\"deadline_ms\": 3000", "\"deadline_ms\": 3000, \"staleness_ms\": 500"), "first");
    const auto seen = *store.read();
    const auto shares =
        with(seen.envelope.text, "\"deadline_ms\": 1000}", "\"deadline_ms\": 1000, \"shareable\": true}");
    const document_change change("db", seen, shares, {"mine", "me", "", 0});
    store.put_directly(with(seen.envelope.text, "\"database\": \"db\"", "\"database\": \"other\""), "other");
    const auto decision = change.decide(*store.read());
    CHECK(decision.outcome == change_outcome::invalid);
    CHECK(decision.reason.find("merged") != std::string::npos);
}

TEST_CASE("the active revision never decreases, whatever the source of a document")
{
    document_cache cache;
    const auto value = write_envelope({base_text, {}});
    CHECK(cache.offer("db", 5, value, time_point{}));
    CHECK_FALSE(cache.offer("db", 4, value, time_point{}));
    CHECK_FALSE(cache.offer("db", 5, value, time_point{}));
    CHECK(cache.revision() == 5);
    CHECK(cache.offer("db", 6, value, time_point{}));
    CHECK(cache.revision() == 6);
}

TEST_CASE("an unreadable document does not replace the active one")
{
    document_cache cache;
    CHECK(cache.offer("db", 1, write_envelope({base_text, {}}), time_point{}));
    CHECK_FALSE(cache.offer("db", 2, "garbage", time_point{}));
    CHECK_FALSE(cache.offer("db", 2, write_envelope({"{\"database\": 3}", {}}), time_point{}));
    CHECK_FALSE(cache.offer("other", 2, write_envelope({base_text, {}}), time_point{}));
    CHECK(cache.last_reason() == "a document of db");
    CHECK(cache.revision() == 1);
}

TEST_CASE("a document that would violate a guarantee is refused with line and reason")
{
    document_reader reader;
    const auto refused = [&](const std::string &from, const std::string &to, const std::string &reason) {
        const auto document = reader.read(with(base_text, from, to));
        INFO(reader.last_reason());
        CHECK_FALSE(document);
        CHECK(reader.last_reason().find(reason) != std::string::npos);
    };
    refused("\"deadline_ms\": 2000", "\"deadline_ms\": 2000, \"retries\": 1",
            "line 4: classes.booking.retries");
    refused("\"deadline_ms\": 2000", "\"deadline_ms\": 2000, \"staleness_ms\": 1", "read-your-writes");
    refused("\"deadline_ms\": 2000", "\"deadline_ms\": 2000, \"shareable\": true",
            "classes.booking.shareable");
    refused("\"deadline_ms\": 2000", "\"deadline_ms\": -1", "a whole number from 10");
    refused("\"deadline_ms\": 2000", "\"deadlin_ms\": 2000", "nothing, allowed: a whole number");
    refused("\"deadline_ms\": 2000", "\"deadline_ms\": 2000, \"x\": 1", "an unknown field");
    refused("\"classes\"", "\"classes\" oops", "not JSON");
}

TEST_CASE("merging keeps comments and both changes")
{
    const std::string base = "// why\na\nb\nc\nd\n";
    const auto merged = merge_texts(base, "// why\nA\nb\nc\nd\n", "// why\na\nb\nc\nD\n// new\n");
    CHECK(merged == std::optional<std::string>("// why\nA\nb\nc\nD\n// new\n"));
    CHECK_FALSE(merge_texts(base, "// why\nA\nb\nc\nd\n", "// why\nX\nb\nc\nd\n"));
    CHECK(merge_texts(base, "// why\nA\nb\nc\nd\n", "// why\nA\nb\nc\nd\n"));
}
