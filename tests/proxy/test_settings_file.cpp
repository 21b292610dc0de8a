// The proxy's settings as the template renders them: defaults, and errors that name the setting.

#include "proxy/settings_file.h"

#include <catch2/catch.hpp>

using namespace baobabport::proxy;

namespace {

const std::string valid_settings = R"({
    // as the template renders it
    "process": "front-1", "data_centre": "erie",
    "callers": "10.0.0.1:1", "probe": "10.0.0.1:2", "admin": "", "peers": "10.0.0.1:4",
    "store": "10.0.0.9:5", "promotion_orders": "10.0.0.9:6",
    "drain_bound_ms": "5000", "shutdown_s": "2.5", "configuration_bound_ms": ""
})";

std::string with(const std::string &from, const std::string &to)
{
    auto out = valid_settings;
    out.replace(out.find(from), from.size(), to);
    return out;
}

} // namespace

TEST_CASE("settings that are empty or absent keep their defaults")
{
    std::string reason;
    const auto settings = read_proxy_settings(valid_settings, reason);
    REQUIRE(settings);
    CHECK(settings->callers.text() == "10.0.0.1:1");
    CHECK_FALSE(settings->admin);
    CHECK(settings->shutdown_time == milliseconds(2500));
    CHECK(settings->drain_bound == milliseconds(5000));
    CHECK(settings->configuration_bound == proxy_settings{}.configuration_bound);
    CHECK(settings->memory_mb == 0);
    CHECK(settings->max_fds == 0);
}

// Guards against a process that does not start, or has no limits, by what the platform says of its VM.
TEST_CASE("the limits of a VM are read as numbers in quotes, and an unusable one is rejected by its name")
{
    std::string reason;
    const auto settings =
        read_proxy_settings(with("\"admin\": \"\"", R"("memory_mb": "112.5", "max_fds": "3010")"), reason);
    REQUIRE(settings);
    CHECK(settings->memory_mb == 112);
    CHECK(settings->max_fds == 3010);
    for (const char *const text : {"0", "-4", "many", "nan", "1e12", "12 MB"}) {
        const auto entry = std::string(R"("max_fds": ")") + text + '"';
        CHECK_FALSE(read_proxy_settings(with("\"admin\": \"\"", entry), reason));
        CHECK(reason.find("max_fds") != std::string::npos);
    }
}

// Guards against a bound of the platform that is read in another unit, or left out when it is not defined.
TEST_CASE("the tolerance of quotas is read, and has its default while the VM does not define it")
{
    std::string reason;
    const std::string fields = R"("quota_window_s": "2.5", "quota_overage": "0.25", "quota_slack": "", )";
    const auto settings = read_proxy_settings(with("\"process\"", fields + "\"process\""), reason);
    REQUIRE(settings);
    CHECK(settings->quotas.window == milliseconds(2500));
    CHECK(settings->quotas.overage == 0.25);
    CHECK(settings->quotas.slack == 20);
    CHECK_FALSE(read_proxy_settings(with("\"process\"", R"("quota_overage": "-1", "process")"), reason));
    CHECK(reason.find("quota_overage") != std::string::npos);
}

TEST_CASE("invalid settings are rejected with the name of the setting")
{
    std::string reason;
    CHECK_FALSE(read_proxy_settings(with("10.0.0.1:1", "host"), reason));
    CHECK(reason.find("callers") != std::string::npos);
    CHECK_FALSE(read_proxy_settings(with("\"2.5\"", "\"soon\""), reason));
    CHECK(reason.find("shutdown_s") != std::string::npos);
    CHECK_FALSE(read_proxy_settings(with("\"2.5\"", "\"-1\""), reason));
    CHECK_FALSE(read_proxy_settings(with("\"process\"", "\"proces\""), reason));
    CHECK_FALSE(read_proxy_settings("{", reason));
    CHECK_FALSE(read_proxy_settings("", reason));
    CHECK_FALSE(load_proxy_settings("/nonexistent/settings.json", reason));
    CHECK(reason.find("/nonexistent/settings.json") != std::string::npos);
}
