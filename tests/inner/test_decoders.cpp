// No bytes that reach a decoder end the process: changed messages, random ones, and deeply nested ones.

#include "failover/leadership_record.h"
#include "inner/directory_messages.h"
#include "inner/execute_messages.h"
#include "inner/lease_messages.h"
#include "inner/message_codec.h"
#include "inner/quota_messages.h"
#include "platform/line_codec.h"
#include "platform/metadata_client.h"
#include "platform/record_codec.h"
#include "proxy/settings_file.h"
#include "support/cbor.h"
#include "support/mutated_bytes.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace baobabport;
using std::chrono::milliseconds;

namespace {

/// Messages for each decoder; FUZZ_MESSAGES=1000000 runs more.
std::size_t message_count()
{
    constexpr std::size_t by_default = 20000;
    const char *const wanted = std::getenv("FUZZ_MESSAGES");
    return wanted ? std::strtoul(wanted, nullptr, 10) : by_default;
}

struct decoder
{
    std::string name;
    std::vector<std::string> valid;
    std::function<void(const std::string &)> decode;
};

inner::lease_answer lease_answer()
{
    inner::lease_answer out;
    out.generation = 3;
    out.leases.push_back({"db", "i-1", 3, {3, 99}, milliseconds(7), true});
    out.relays = {"10.0.0.1:7440"};
    out.relayed_age = milliseconds(12);
    out.part.generation = 3;
    out.part.changes.push_back({1, {"front-1", "erie", "10.0.0.1:7440"}, true});
    return out;
}

inner::lease_request lease_request()
{
    inner::lease_request out;
    out.earlier = {{3, milliseconds(900), milliseconds(40), milliseconds(0)}};
    out.vm = "front-1";
    out.followers = {{{"front-2", "erie", "10.0.0.2:7440"}}};
    return out;
}

inner::execute_request execute_request()
{
    inner::execute_request out;
    out.service = "db";
    out.values = {{"zone", "a b"}};
    out.prepared = session::prepared_statement{true, "q2c"};
    out.floor = consistency::position{1, 2};
    out.text = "READ x";
    return out;
}

inner::execute_answer execute_answer()
{
    inner::execute_answer out;
    out.answer.rows = {"one", ""};
    out.answer.error = session::failure{session::answer_code::read_only, "i-1"};
    out.answer.end = {session::transaction_state::failed, consistency::position{3, 4}};
    return out;
}

const char *const instance_record = R"({"backend":"db","address":"10.0.0.9:8080","zone":"erie","slots":2,)"
                                    R"("state":"ready","db_role":"replica","cold_remaining_ms":0,"born":9,)"
                                    R"("version":"v1","sequence":4})";
const char *const desired_state =
    R"({"version":7,"routes":[{"name":"r","database":"d","type":"bounded","timeout_ms":800,)"
    R"("target_latency_ms":200,"priority":2,"backend":"db","max_staleness_ms":2500}],)"
    R"("backends":[{"name":"db","max_connections":16,"sync_replicas":1}],"limits":{"tx_idle_ms":3000}})";

std::vector<decoder> decoders()
{
    const auto ignore = [](const auto &) {};
    return {
        {"lease request",
         {inner::encode(lease_request())},
         [=](const auto &it) { ignore(inner::decode_lease_request(it)); }},
        {"lease answer",
         {inner::encode(lease_answer())},
         [=](const auto &it) { ignore(inner::decode_lease_answer(it)); }},
        {"execute request",
         {inner::encode(execute_request())},
         [=](const auto &it) { ignore(inner::decode_execute_request(it)); }},
        {"execute answer",
         {inner::encode(execute_answer())},
         [=](const auto &it) { ignore(inner::decode_execute_answer(it)); }},
        {"directory answer",
         {inner::encode(inner::directory_answer{true, {{"servers/i-1", "{}"}}})},
         [=](const auto &it) {
             ignore(inner::decode_directory_answer(it));
             ignore(inner::decode_directory_request(it));
         }},
        {"messages about quotas",
         {inner::encode(inner::deposit_request{"front-1", {{1, 7}, {{"one", 19, milliseconds(0)}}, {}}}),
          inner::encode(inner::token_list{{{"one", 1000, milliseconds(40)}}})},
         [=](const auto &it) {
             ignore(inner::decode_deposit_request(it));
             ignore(inner::decode_token_list(it));
         }},
        {"statement between entry and pooler",
         {inner::encode(inner::statement_request{})},
         [=](const auto &it) { ignore(inner::decode<inner::statement_request>(it)); }},
        {"instance record",
         {instance_record},
         [=](const auto &it) {
             std::string reason;
             ignore(platform::read_instance_record("servers/i-1", it, reason));
         }},
        {"desired state",
         {desired_state},
         [=](const auto &it) {
             std::string reason;
             ignore(platform::read_desired_state(it, reason));
         }},
        {"leadership record",
         {failover::encode(failover::leadership_record{4, true, "key", 3, "a", "b"})},
         [=](const auto &it) { ignore(failover::decode_leadership_record(it)); }},
        {"leader key",
         {failover::encode(failover::leader_key{"front-1", "10.0.0.1:7440", "erie"})},
         [=](const auto &it) { ignore(failover::decode_leader_key(it)); }},
        {"answer of the store",
         {R"({"items":[{"key":"servers/i-1","value":"e30=","revision":4,"lease_id":0}],"has_more":false,"as_of":9})"},
         [=](const auto &it) {
             http::client_answer answer;
             answer.status = 200;
             answer.body = it;
             ignore(platform::read_reply(answer));
         }},
        {"line of a caller",
         {"CONNECT db u1", "QUERY 5c0e EXECUTE s1 1a4 x y", "QUIT"},
         [=](const auto &it) { ignore(platform::read_caller_line(it)); }},
        {"line of an instance",
         {"READY T 3.1209", "ROW replica 3 3.1209 0 12 2 17", "COMPLETE 7.1f3", "ERROR LAGGING 3.4"},
         [=](const auto &it) {
             ignore(platform::read_instance_line(it));
             ignore(platform::read_member_report(it));
         }},
        {"settings",
         {R"({"process":"p","data_centre":"d","callers":"127.0.0.1:1","probe":"127.0.0.1:2",)"
          R"("peers":"127.0.0.1:3","store":"127.0.0.1:4","shutdown_s":"6"})"},
         [=](const auto &it) {
             std::string reason;
             ignore(proxy::read_proxy_settings(it, reason));
         }},
    };
}

} // namespace

TEST_CASE("changed and random messages are decoded or refused by every decoder")
{
    for (const auto &it : decoders()) {
        std::mt19937 random(20261205);
        for (std::size_t n = 0; n < message_count(); ++n) {
            const auto &valid = it.valid[random() % it.valid.size()];
            const auto bytes = testing::mutated(random() % 8 == 0 ? std::string() : valid, random);
            INFO(it.name << ", message " << n);
            REQUIRE_NOTHROW(it.decode(bytes));
        }
    }
}

// Guards against a process that ends because a decoder recurses into each level.
TEST_CASE("deeply nested messages are refused by every decoder")
{
    for (const std::size_t depth : {std::size_t{1000}, std::size_t{60000}, std::size_t{1000000}}) {
        const std::vector<std::string> nested{std::string(depth, '\x81'),
                                              std::string(depth, '\xc1'),
                                              std::string(depth, '\x9f'),
                                              std::string(depth, '['),
                                              std::string(depth, '[') + std::string(depth, ']'),
                                              R"({"backend":)" + std::string(depth, '[') +
                                                  std::string(depth, ']') + '}'};
        for (const auto &it : decoders()) {
            for (const auto &bytes : nested) {
                INFO(it.name);
                REQUIRE_NOTHROW(it.decode(bytes));
            }
        }
    }
    CHECK_FALSE(support::is_nesting_within(std::string(100, '\x81') + '\x01'));
    CHECK(support::is_nesting_within(inner::encode(lease_answer())));
}
