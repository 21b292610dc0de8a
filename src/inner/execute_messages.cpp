#include "inner/execute_messages.h"

#include "inner/stream_connection.h"
#include "support/cbor.h"

#include <nlohmann/json.hpp>

namespace baobabport::inner {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// Messages are encoded as CBOR arrays, since field names would make up most of their bytes.

/// Space for the other fields of an answer, the longest of which are names.
constexpr std::size_t field_space = std::size_t{64} * 1024;
static_assert(session::statement_answer::max_size + field_space <= stream_connection::max_message);

/// Processes of earlier versions do not send this field of an answer, and ignore it.
constexpr std::size_t cut_field = 9;
/// The same of a request.
constexpr std::size_t workspace_field = 13;

json position_fields(const std::optional<consistency::position> &at)
{
    return at ? json{at->term, at->offset} : json(nullptr);
}

std::optional<consistency::position> read_position(const json &fields)
{
    if (fields.is_null())
        return std::nullopt;
    return consistency::position{fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::uint64_t>()};
}

json prepared_fields(const std::optional<session::prepared_statement> &it)
{
    return it ? json{it->writes, it->shape} : json(nullptr);
}

std::optional<session::prepared_statement> read_prepared(const json &fields)
{
    if (fields.is_null())
        return std::nullopt;
    return session::prepared_statement{fields.at(0).get<bool>(), fields.at(1).get<std::string>()};
}

json error_fields(const std::optional<session::failure> &error)
{
    return error ? json{static_cast<std::uint8_t>(error->code), error->text} : json(nullptr);
}

std::optional<session::failure> read_error(const json &fields)
{
    if (fields.is_null())
        return std::nullopt;
    return session::failure{support::enum_of(fields.at(0), session::answer_code::denied),
                            fields.at(1).get<std::string>()};
}

} // namespace

std::string encode(const execute_request &message)
{
    json values = json::array();
    for (const auto &[name, value] : message.values) {
        values.push_back(name);
        values.push_back(value);
    }
    return support::to_cbor(
        json::array({message.service, message.instance, message.priority, message.time_left.count(),
                     message.wait_left.count(), values, prepared_fields(message.prepared),
                     static_cast<std::uint8_t>(message.begin), position_fields(message.floor),
                     message.transaction, message.id, message.text, message.label, message.workspace}));
}

std::string encode(const execute_answer &message)
{
    return support::to_cbor(json::array(
        {static_cast<std::uint8_t>(message.outcome), message.reason, message.answer.rows,
         message.answer.receipt, error_fields(message.answer.error),
         static_cast<std::uint8_t>(message.answer.end.state), position_fields(message.answer.end.log),
         message.transaction, message.overloaded, message.answer.cut}));
}

std::string encode(const rollback_request &message)
{
    return support::to_cbor(json::array({message.transaction}));
}

std::optional<execute_request> decode_execute_request(std::string_view bytes)
{
    return support::decode_cbor<execute_request>(bytes, [](const json &fields, execute_request &out) {
        out.service = fields.at(0).get<std::string>();
        out.instance = fields.at(1).get<std::string>();
        out.priority = fields.at(2).get<std::uint32_t>();
        out.time_left = milliseconds(fields.at(3).get<std::int64_t>());
        out.wait_left = milliseconds(fields.at(4).get<std::int64_t>());
        const auto &values = fields.at(5);
        for (std::size_t n = 0; n + 1 < values.size(); n += 2)
            out.values[values.at(n).get<std::string>()] = values.at(n + 1).get<std::string>();
        out.prepared = read_prepared(fields.at(6));
        out.begin = support::enum_of(fields.at(7), begin_mode::read_only);
        out.floor = read_position(fields.at(8));
        out.transaction = fields.at(9).get<std::uint64_t>();
        out.id = fields.at(10).get<std::string>();
        out.text = fields.at(11).get<std::string>();
        out.label = fields.at(12).get<std::string>();
        if (fields.size() > workspace_field)
            out.workspace = fields.at(workspace_field).get<std::string>();
    });
}

std::optional<execute_answer> decode_execute_answer(std::string_view bytes)
{
    return support::decode_cbor<execute_answer>(bytes, [](const json &fields, execute_answer &out) {
        out.outcome = support::enum_of(fields.at(0), execute_outcome::lost);
        out.reason = fields.at(1).get<std::string>();
        out.answer.rows = fields.at(2).get<std::vector<std::string>>();
        out.answer.receipt = fields.at(3).get<std::string>();
        out.answer.error = read_error(fields.at(4));
        out.answer.end.state = support::enum_of(fields.at(5), session::transaction_state::failed);
        out.answer.end.log = read_position(fields.at(6));
        out.transaction = fields.at(7).get<std::uint64_t>();
        out.overloaded = fields.at(8).get<bool>();
        out.answer.cut = out.answer.error && fields.size() > cut_field && fields.at(cut_field).get<bool>();
    });
}

std::optional<rollback_request> decode_rollback_request(std::string_view bytes)
{
    return support::decode_cbor<rollback_request>(bytes, [](const json &fields, rollback_request &out) {
        out.transaction = fields.at(0).get<std::uint64_t>();
    });
}

} // namespace baobabport::inner
