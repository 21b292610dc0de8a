#include "inner/message_codec.h"

#include "support/cbor.h"

#include <nlohmann/json.hpp>

namespace nlohmann {

/// Durations are encoded as whole milliseconds.
template <>
struct adl_serializer<std::chrono::milliseconds>
{
    static void to_json(json &out, std::chrono::milliseconds value) { out = value.count(); }
    static void from_json(const json &in, std::chrono::milliseconds &value)
    {
        value = std::chrono::milliseconds(in.get<std::int64_t>());
    }
};

/// An optional is encoded as its value or as null.
template <typename Value>
struct adl_serializer<std::optional<Value>>
{
    static void to_json(json &out, const std::optional<Value> &value)
    {
        if (value)
            out = *value;
        else
            out = nullptr;
    }
    static void from_json(const json &in, std::optional<Value> &value)
    {
        if (in.is_null())
            value.reset();
        else
            value = in.get<Value>();
    }
};

} // namespace nlohmann

namespace baobabport::consistency {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(position, term, offset)

} // namespace baobabport::consistency

namespace baobabport::inner {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(statement_request, database, class_name, statement, arguments, request_id,
                                   caller, time_left, floor, in_doubt, step, transaction, rank)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(statement_answer, outcome, reason, rows, at, served_by, by_replica,
                                   retry_after, transaction, document_revision, settles_doubt, use_next_rank)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(view_request, database, primary)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(view_answer, primary_reachable, highest_term)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(document_request, database, known_revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(document_answer, revision, text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(hello, version, process, nonce, proof)

namespace {

using nlohmann::json;

/// All strings are UTF-8: the names that processes give themselves are text, nonces and proofs are base64.
template <typename Message>
std::string to_bytes(const Message &message)
{
    const auto bytes = json::to_cbor(json(message));
    return {bytes.begin(), bytes.end()};
}

template <typename Message>
std::optional<Message> from_bytes(std::string_view bytes)
{
    try {
        return support::from_cbor(bytes).get<Message>();
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string encode(const statement_request &message)
{
    return to_bytes(message);
}
std::string encode(const statement_answer &message)
{
    return to_bytes(message);
}
std::string encode(const view_request &message)
{
    return to_bytes(message);
}
std::string encode(const view_answer &message)
{
    return to_bytes(message);
}
std::string encode(const document_request &message)
{
    return to_bytes(message);
}
std::string encode(const document_answer &message)
{
    return to_bytes(message);
}
std::string encode(const hello &message)
{
    return to_bytes(message);
}

template <>
std::optional<statement_request> decode(std::string_view bytes)
{
    auto out = from_bytes<statement_request>(bytes);
    if (out && out->step > transaction_step::rollback)
        return std::nullopt;
    return out;
}

template <>
std::optional<statement_answer> decode(std::string_view bytes)
{
    auto out = from_bytes<statement_answer>(bytes);
    if (out && out->outcome > consistency::verdict::unknown)
        return std::nullopt;
    return out;
}

template <>
std::optional<view_request> decode(std::string_view bytes)
{
    return from_bytes<view_request>(bytes);
}

template <>
std::optional<view_answer> decode(std::string_view bytes)
{
    return from_bytes<view_answer>(bytes);
}

template <>
std::optional<document_request> decode(std::string_view bytes)
{
    return from_bytes<document_request>(bytes);
}

template <>
std::optional<document_answer> decode(std::string_view bytes)
{
    return from_bytes<document_answer>(bytes);
}

template <>
std::optional<hello> decode(std::string_view bytes)
{
    return from_bytes<hello>(bytes);
}

} // namespace baobabport::inner
