// Settings files that change while the process runs, with and without a signal.

#include "proxy/settings_watch.h"
#include "support/proxy_site.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace baobabport;
using namespace testing;

namespace {

/// A settings file whose name is unique to this test process.
struct settings_on_disk
{
    settings_on_disk() { write("1000"); }
    ~settings_on_disk() { std::filesystem::remove(path); }
    settings_on_disk(const settings_on_disk &) = delete;
    settings_on_disk &operator=(const settings_on_disk &) = delete;

    void write(const std::string &bound) const
    {
        std::ofstream(path) << R"({"process": "front-1", "data_centre": "erie", "callers": "127.0.0.1:1",
            "probe": "127.0.0.1:2", "peers": "127.0.0.1:3", "store": "127.0.0.1:4",
            "configuration_bound_ms": ")"
                            << bound << "\"}";
    }

    std::string path =
        (std::filesystem::temp_directory_path() / ("settings-" + std::to_string(getpid()))).string();
};

} // namespace

TEST_CASE("a settings file that changes without a signal is read")
{
    proxy_site site;
    const settings_on_disk file;
    std::vector<proxy::proxy_settings> received;
    proxy::settings_watch watch(site.base, file.path,
                                [&received](const auto &it) { received.push_back(it); });
    site.run_for(2 * proxy::settings_watch::interval);
    CHECK(received.empty());
    file.write("2000");
    CHECK(site.run_until([&received] { return received.size() == 1; }));
    CHECK(received.front().configuration_bound == std::chrono::milliseconds(2000));
}

TEST_CASE("poll() reads the settings at once, and invalid ones change nothing")
{
    proxy_site site;
    const settings_on_disk file;
    std::vector<proxy::proxy_settings> received;
    proxy::settings_watch watch(site.base, file.path,
                                [&received](const auto &it) { received.push_back(it); });
    file.write("soon");
    watch.poll();
    CHECK(received.empty());
    std::filesystem::remove(file.path);
    watch.poll();
    CHECK(received.empty());
    file.write("3000");
    watch.poll();
    CHECK(received.size() == 1);
}

TEST_CASE("a process continues with a store at another address")
{
    proxy_site site;
    auto settings = site.settings();
    standin::kv_service other(site.base, site.settings_of("x").callers, [](const auto &) { return 200; });
    site.store->faults.refuses = true;
    settings.store = other.address();
    other.put("op/config", site.store->value("op/config"));
    site.proxy->reload(settings);
    CHECK(site.run_until([&other] { return other.has("baobabport/failover/holder"); }));
}
