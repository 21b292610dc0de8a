#include "order_desk.h"

#include <cstdlib>
#include <event2/buffer.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace soak {

namespace {

std::string header_of(evhttp_request &asked, const char *name)
{
    const char *const value = evhttp_find_header(evhttp_request_get_input_headers(&asked), name);
    return value ? value : "";
}

} // namespace

order_desk::order_desk(event_base *base, const baobabport::support::address &at, std::string from,
                       order_hook take)
    : from_(std::move(from)), take_(std::move(take)), server_(evhttp_new(base))
{
    if (evhttp_bind_socket(server_, at.ip.c_str(), at.port) != 0) {
        evhttp_free(server_);
        throw std::runtime_error("cannot listen at " + at.text());
    }
    evhttp_set_gencb(
        server_, [](evhttp_request *asked, void *self) { static_cast<order_desk *>(self)->answer(*asked); },
        this);
}

order_desk::~order_desk()
{
    evhttp_free(server_);
}

void order_desk::answer(evhttp_request &asked)
{
    auto *const input = evhttp_request_get_input_buffer(&asked);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    const auto fields = nlohmann::json::parse(body, nullptr, false);
    int status = HTTP_BADREQUEST;
    if (fields.is_object()) {
        promotion_order order;
        order.service = fields.value("backend", "");
        order.instance = fields.value("id", "");
        order.from = from_;
        order.leader = header_of(asked, "X-Lease-Holder");
        order.generation = std::strtoull(header_of(asked, "X-Fencing-Token").c_str(), nullptr, 10);
        status = take_(order);
    }
    auto *const output = evhttp_request_get_output_buffer(&asked);
    evbuffer_add(output, "{}", 2);
    evhttp_send_reply(&asked, status, "", output);
}

} // namespace soak
