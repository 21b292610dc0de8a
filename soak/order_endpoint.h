// The endpoint to which one process sends its promotion orders.

#pragma once

#include "order_ledger.h"
#include "support/address.h"

#include <functional>

struct event_base;
struct evhttp;
struct evhttp_request;

namespace soak {

/**
 * Serves the platform's promotion call on a separate address for each process, so that the sender is certain
 * whatever the order contains.
 */
class order_endpoint
{
public:
    /// Handles an order and returns the HTTP status of the answer.
    using order_hook = std::function<int(const promotion_order &)>;

    /// Listens on the address; throws `std::runtime_error` with the address if it cannot.
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
