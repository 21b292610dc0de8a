// Where one process sends its orders to promote.

#pragma once

#include "order_ledger.h"
#include "support/address.h"

#include <functional>

struct event_base;
struct evhttp;
struct evhttp_request;

namespace soak {

/**
 * Takes the platform's call to promote at an address of its own, so that the sender is known whatever the
 * order says of it.
 */
class order_endpoint
{
public:
    /// Takes an order and returns the status of the answer.
    using order_hook = std::function<int(const promotion_order &)>;

    /// Listens, or throws `std::runtime_error` with the address.
    order_endpoint(event_base *base, const baobabport::support::address &at, std::string from,
                   order_hook on_order);
    ~order_endpoint();
    order_endpoint(const order_endpoint &) = delete;
    order_endpoint &operator=(const order_endpoint &) = delete;

private:
    void answer(evhttp_request &request);

    std::string from_;
    order_hook on_order_;
    evhttp *server_;
};

} // namespace soak
