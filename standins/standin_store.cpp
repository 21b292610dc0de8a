// Stand-in program for the platform's key-value service.

#include "kv_service.h"
#include "support/address.h"

#include <docopt/docopt.h>
#include <event2/event.h>
#include <iostream>

namespace {

constexpr const char *usage =
    R"(A stand-in for the platform's key-value service. `POST /control` sets its faults.

Usage:
  standin-store --listen IP:PORT
  standin-store (-h | --help)

Options:
  --listen IP:PORT  Address to listen on.
  -h --help         Show this text.
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace baobabport;
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto at = support::parse_address(args["--listen"].asString());
    if (!at) {
        std::cerr << "--listen: found " << args["--listen"].asString() << ", allowed: IP:PORT\n";
        return 2;
    }
    auto *const base = event_base_new();
    const standin::kv_service service(base, *at, [](const auto &) { return 409; });
    event_base_dispatch(base);
    return 0;
}
