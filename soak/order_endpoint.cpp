#include "order_endpoint.h"

#include <cstdlib>
#include <event2/buffer.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace soak {

namespace {

std::string header_of(evhttp_request &request, const char *name)
{
    const char *const value = evhttp_find_header(evhttp_request_get_input_headers(&request), name);
    return value ? value : "";
}

} // namespace

order_endpoint::order_endpoint(event_base *base, const baobabport::support::address &at, std::string from,
                               order_hook on_order)
    : from_(std::move(from)), on_order_(std::move(on_order)), server_(evhttp_new(base))
{
    if (evhttp_bind_socket(server_, at.ip.c_str(), at.port) != 0) {
        evhttp_free(server_);
        throw std::runtime_error("cannot listen for promotion orders on " + at.text());
    }
    evhttp_set_gencb(
        server_,
        [](evhttp_request *request, void *self) { static_cast<order_endpoint *>(self)->answer(*request); },
        this);
}

order_endpoint::~order_endpoint()
{
    evhttp_free(server_);
}

void order_endpoint::answer(evhttp_request &request)
{
    auto *const input = evhttp_request_get_input_buffer(&request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    const auto fields = nlohmann::json::parse(body, nullptr, false);
    int status = HTTP_BADREQUEST;
    if (fields.is_object()) {
        promotion_order order;
        order.service = fields.value("backend", "");
        order.instance = fields.value("id", "");
        order.from = from_;
        order.leader = header_of(request, "X-Lease-Holder");
        order.generation = std::strtoull(header_of(request, "X-Fencing-Token").c_str(), nullptr, 10);
        status = on_order_(order);
    }
    auto *const output = evhttp_request_get_output_buffer(&request);
    evbuffer_add(output, "{}", 2);
    evhttp_send_reply(&request, status, "", output);
}

} // namespace soak
