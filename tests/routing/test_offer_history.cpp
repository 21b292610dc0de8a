// The rounds in which a read is offered to the instances of a group.

#include "routing/offer_history.h"

#include <catch2/catch.hpp>

using namespace baobabport::routing;
using names = std::set<std::string>;

// Guards against refusals of reads that two instances shed while a third was up.
TEST_CASE("a read is offered to each instance before any is asked again")
{
    offer_history offers;
    for (const auto *const it : {"i-1", "i-2"}) {
        offers.record_offer(it);
        offers.record_end(it, offer_end::shed);
    }
    CHECK(offers.excluded() == names{"i-1", "i-2"});
    offers.record_offer("i-3");
    CHECK(offers.excluded() == names{"i-1", "i-2", "i-3"}); // it was lost
    CHECK(offers.start_round());
    CHECK(offers.excluded().empty());
}

// Guards against late refusals: the caller was told after a second wait at the same queue.
TEST_CASE("an instance whose queue is too long is not asked again, and a read that all queues refuse ends")
{
    offer_history offers;
    offers.record_offer("i-1");
    offers.record_end("i-1", offer_end::overloaded);
    offers.record_offer("i-2");
    offers.record_end("i-2", offer_end::shed);
    REQUIRE(offers.start_round());
    CHECK(offers.excluded() == names{"i-1"});
    offers.record_offer("i-2");
    offers.record_end("i-2", offer_end::overloaded);
    CHECK_FALSE(offers.start_round());
}

// Guards against the end of a read in a group whose instances are not known yet.
TEST_CASE("a read that no instance was asked for may still be served")
{
    offer_history offers;
    CHECK(offers.start_round());
}
