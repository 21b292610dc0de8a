// Lease and execution messages are decoded as they were encoded, and other bytes are rejected.

#include "inner/execute_messages.h"
#include "inner/lease_messages.h"

#include <catch2/catch.hpp>

using namespace baobabport;
using namespace baobabport::inner;
using std::chrono::milliseconds;

TEST_CASE("lease messages are decoded as they were encoded")
{
    lease_request request;
    request.generation = 4;
    request.number = 17;
    request.store_unanswered_for = milliseconds(12);
    request.leader_timestamp = 88;
    request.earlier = {{3, milliseconds(900), milliseconds(40), std::nullopt},
                       {2, milliseconds(9000), milliseconds(4000), milliseconds(0)}};
    request.members_known = 9;
    request.vm = "front-1";
    request.data_centre = "erie";
    const auto decoded_request = decode_lease_request(encode(request));
    REQUIRE(decoded_request);
    CHECK(decoded_request->generation == 4);
    CHECK(decoded_request->number == 17);
    CHECK(decoded_request->store_unanswered_for == milliseconds(12));
    CHECK(decoded_request->leader_timestamp == 88);
    REQUIRE(decoded_request->earlier.size() == 2);
    CHECK(decoded_request->earlier[0].generation == 3);
    CHECK(decoded_request->earlier[0].first_answered_ago == milliseconds(900));
    CHECK(decoded_request->earlier[0].answered_ago == milliseconds(40));
    CHECK_FALSE(decoded_request->earlier[0].agreed_ago);
    CHECK(decoded_request->earlier[1].agreed_ago == milliseconds(0));
    CHECK(decoded_request->members_known == 9);
    CHECK(decoded_request->vm == "front-1");
    CHECK(decoded_request->data_centre == "erie");

    lease_answer answer;
    answer.generation = 4;
    answer.number = 17;
    answer.leader_timestamp = 89;
    answer.acting = false;
    answer.store_check_requested = true;
    answer.leases.push_back({"db", "i-1", 3, {3, 99}, milliseconds(7), false});
    answer.members_version = 10;
    answer.members.push_back({"front-1", "erie", "10.0.0.1:1"});
    const auto decoded_answer = decode_lease_answer(encode(answer));
    REQUIRE(decoded_answer);
    CHECK(decoded_answer->leader_timestamp == 89);
    CHECK_FALSE(decoded_answer->acting);
    CHECK(decoded_answer->store_check_requested);
    REQUIRE(decoded_answer->leases.size() == 1);
    CHECK(decoded_answer->leases[0].primary == "i-1");
    CHECK(decoded_answer->leases[0].log == consistency::position{3, 99});
    CHECK(decoded_answer->leases[0].log_age == milliseconds(7));
    CHECK_FALSE(decoded_answer->leases[0].granted);
    CHECK(decoded_answer->members == answer.members);
    CHECK_FALSE(decode_lease_request(encode(answer)));
    CHECK_FALSE(decode_lease_answer(encode(request)));
}

TEST_CASE("execution messages are decoded as they were encoded")
{
    execute_request request;
    request.service = "db";
    request.instance = "i-1";
    request.priority = 2;
    request.label = "route/r";
    request.time_left = milliseconds(800);
    request.wait_left = milliseconds(90);
    request.values = {{"zone", "a b"}};
    request.prepared = session::prepared_statement{true, "q2c"};
    request.begin = begin_mode::read_only;
    request.floor = consistency::position{1, 2};
    request.transaction = 5;
    request.id = "abc";
    request.text = "EXECUTE w_q2c 1a4 x y";
    const auto decoded_request = decode_execute_request(encode(request));
    REQUIRE(decoded_request);
    CHECK(decoded_request->values == request.values);
    CHECK(*decoded_request->prepared == *request.prepared);
    CHECK(decoded_request->begin == begin_mode::read_only);
    CHECK(*decoded_request->floor == *request.floor);
    CHECK(decoded_request->transaction == 5);
    CHECK(decoded_request->text == request.text);
    CHECK(decoded_request->label == request.label);
    CHECK(decoded_request->wait_left == milliseconds(90));

    execute_answer answer;
    answer.outcome = execute_outcome::answered;
    answer.answer.rows = {"one", ""};
    answer.answer.error = session::failure{session::answer_code::read_only, "i-1"};
    answer.answer.end = {session::transaction_state::failed, consistency::position{3, 4}};
    answer.transaction = 6;
    answer.overloaded = true;
    const auto decoded_answer = decode_execute_answer(encode(answer));
    REQUIRE(decoded_answer);
    CHECK(decoded_answer->answer.rows == answer.answer.rows);
    CHECK(decoded_answer->answer.error->code == session::answer_code::read_only);
    CHECK(decoded_answer->answer.end.state == session::transaction_state::failed);
    CHECK(*decoded_answer->answer.end.log == consistency::position{3, 4});
    CHECK(decoded_answer->transaction == 6);
    CHECK(decoded_answer->overloaded);
    CHECK_FALSE(decoded_answer->answer.cut);
    answer.answer.cut = true;
    CHECK(decode_execute_answer(encode(answer))->answer.cut);
    CHECK(decode_rollback_request(encode(rollback_request{7}))->transaction == 7);
}

TEST_CASE("bytes that are no message are rejected")
{
    const auto bytes = encode(execute_request{});
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(decode_execute_request(bytes.substr(0, n)));
        CHECK_FALSE(decode_lease_request(bytes.substr(0, n)));
    }
    CHECK_FALSE(decode_execute_answer("\xff\xff"));
    CHECK_FALSE(decode_rollback_request(""));
}

TEST_CASE("the time of a leader's answer is read from the request that echoes its timestamp")
{
    const std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    lease_request request;
    CHECK_FALSE(answer_sent_at(request, now)); // no answer yet
    request.leader_timestamp = timestamp_of(now - milliseconds(200));
    CHECK(answer_sent_at(request, now) == now - milliseconds(200));
    request.leader_timestamp = timestamp_of(now + milliseconds(1));
    CHECK_FALSE(answer_sent_at(request, now)); // later than now: not from this leader
}
