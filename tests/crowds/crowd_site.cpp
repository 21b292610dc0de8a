// Processes, bounds and ordinary requests of the crowds' site.

#include "crowd_site.h"

#include "failover/leadership_record.h"
#include "support/free_address.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <event2/event.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

namespace testing {

using namespace baobabport;
using nlohmann::json;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

namespace {

/// Ends a wait that a working process ends much earlier.
constexpr milliseconds wait_limit{60000};
/// For how long a crowd may take to send; back-pressure keeps it from sending everything.
constexpr milliseconds sending_limit{4000};
constexpr milliseconds finish_limit{8000};
constexpr milliseconds settling_time{2000};
constexpr milliseconds reading_time{2000};
/// After this time an ordinary caller that got no answer tries again on a new connection.
constexpr milliseconds attempt_limit{5000};

/// The address sanitizer keeps shadows and freed blocks, which no bound of the product covers.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t memory_factor = 4;
#else
constexpr std::uint64_t memory_factor = 1;
#endif

json route(const std::string &database, const std::string &type)
{
    json out{{"name", "r-" + database},   {"database", database}, {"type", type},   {"timeout_ms", 1000},
             {"target_latency_ms", 1000}, {"priority", 1},        {"backend", "db"}};
    if (type != "primary")
        out["max_staleness_ms"] = 2500;
    return out;
}

/// Returns the greatest resident size of the process so far, in KiB; 0 if it has ended.
std::uint64_t peak_memory_kb(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        std::uint64_t out = 0;
        if (std::istringstream words(line.substr(line.find(':') + 1)); line.starts_with("VmHWM:"))
            return words >> out ? out : 0;
    }
    return 0;
}

std::size_t open_descriptors(pid_t process)
{
    std::error_code ec;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(process) + "/fd", ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace

crowd_site::crowd_site(std::size_t processes)
    : base(event_base_new()), group(base, "db", {"a", "b", "c"}),
      folder_(std::filesystem::temp_directory_path() / ("baobabport-crowd-" + std::to_string(getpid())))
{
    std::filesystem::create_directories(folder_);
    store_ = std::make_unique<standin::kv_service>(base, free_address(), [](const auto &) { return 409; });
    configure();
    for (std::size_t n = 0; n < processes; ++n) {
        crowd_process it;
        it.name = "front-" + std::to_string(n + 1);
        it.callers = free_address();
        it.probe = free_address();
        it.admin = free_address();
        it.metrics = free_address();
        it.peers = free_address();
        start(it);
        processes_.push_back(std::move(it));
    }
    for (const auto &it : processes_)
        REQUIRE(run_until([&] { return is_ready(it); }, wait_limit));
    REQUIRE(run_until([&] { return store_->has("baobabport/failover/generation"); }, wait_limit));
    for (const auto &it : processes_)
        REQUIRE(run_until([&] { return serves(it); }, wait_limit));
}

crowd_site::~crowd_site()
{
    processes_.clear(); // ends the processes
    std::error_code ec;
    std::filesystem::remove_all(folder_, ec);
    store_.reset();
    event_base_loop(base, EVLOOP_NONBLOCK); // frees objects whose deletion was deferred to the loop
}

void crowd_site::configure()
{
    const json state{{"version", 1},
                     {"routes", {route("main", "primary"), route("old", "bounded")}},
                     {"backends", {{{"name", "db"}, {"max_connections", 16}, {"sync_replicas", 0}}}},
                     {"limits", {{"tx_idle_ms", 300}}}};
    store_->put("op/config", state.dump());
    for (const auto &id : group.ids()) {
        const json record{{"backend", "db"},
                          {"address", group.at(id).address().text()},
                          {"zone", "erie"},
                          {"version", "v1"},
                          {"slots", 2},
                          {"state", "ready"},
                          {"cold_remaining_ms", 0},
                          {"db_role", group.at(id).primary ? "primary" : "replica"},
                          {"sequence", 1},
                          {"born", 1}};
        store_->put("servers/" + id, record.dump());
    }
}

void crowd_site::start(crowd_process &it)
{
    const auto path = folder_ + '/' + it.name;
    const json settings{{"process", it.name},
                        {"data_centre", "erie"},
                        {"callers", it.callers.text()},
                        {"probe", it.probe.text()},
                        {"admin", it.admin.text()},
                        {"metrics", it.metrics.text()},
                        {"peers", it.peers.text()},
                        {"store", store_->address().text()},
                        {"promotion_orders", store_->address().text()},
                        {"memory_mb", std::to_string(limits.memory_mb)},
                        {"max_fds", std::to_string(limits.max_fds)}};
    std::ofstream(path + ".json") << settings.dump();
    const auto *const other_program = std::getenv("CROWD_PROGRAM"); // for figures of another build
    it.process = std::make_unique<soak::child_process>(
        std::vector<std::string>{other_program ? other_program : PROXY_PROGRAM, "--settings", path + ".json"},
        path + ".log");
}

bool crowd_site::run_until(const std::function<bool()> &condition, milliseconds limit)
{
    const auto end = clock_type::now() + limit;
    auto *const wake = event_new(
        base, -1, EV_PERSIST, [](int, short, void *) {}, nullptr);
    const timeval interval{0, 5000};
    event_add(wake, &interval);
    bool satisfied = condition();
    while (!satisfied && clock_type::now() < end) {
        event_base_loop(base, EVLOOP_ONCE);
        note_descriptors();
        satisfied = condition();
    }
    event_free(wake);
    return satisfied;
}

void crowd_site::note_descriptors()
{
    for (auto &it : processes_)
        it.most_descriptors = std::max(it.most_descriptors, open_descriptors(it.process->id()));
}

void crowd_site::let_send(crowd &it)
{
    run_until([&it] { return it.has_sent_all(); }, sending_limit);
}

void crowd_site::let_finish(crowd &it, std::size_t prompts)
{
    run_until(
        [&] {
            return std::all_of(it.members.begin(), it.members.end(), [&](const auto &member) {
                return member->closed || member->prompts() >= prompts;
            });
        },
        finish_limit);
}

void crowd_site::let_settle()
{
    run_until([] { return false; }, settling_time);
}

void crowd_site::let_read_slowly(crowd &it, std::size_t bytes)
{
    const auto end = clock_type::now() + reading_time;
    run_until(
        [&] {
            for (const auto &member : it.members)
                member->read_some(bytes);
            return clock_type::now() >= end;
        },
        wait_limit);
}

bool crowd_site::is_ready(const crowd_process &it)
{
    int status = 0;
    http::http_client client(base, it.probe);
    client.send({http::method_kind::get, "/api/ready", {}, {}, milliseconds(1000)},
                [&status](const auto &answer) { status = answer.status == 0 ? -1 : answer.status; });
    run_until([&status] { return status != 0; }, attempt_limit);
    return status == 200;
}

bool crowd_site::serves(const crowd_process &it)
{
    crowd_member caller(base, it.callers);
    caller.read_all();
    const auto id = std::to_string(++last_id_);
    caller.send("CONNECT old tester\r\n");
    run_until([&] { return caller.closed || caller.received.ends_with("\r\n"); }, attempt_limit);
    if (caller.closed || !caller.received.starts_with("READY"))
        return false;
    caller.received.clear();
    caller.send("QUERY ordinary" + id + " READ item\r\n");
    run_until([&] { return caller.closed || caller.received.find("\r\nREADY") != std::string::npos; },
              attempt_limit);
    return caller.received.find("COMPLETE ") != std::string::npos;
}

void crowd_site::check_bounds(const std::string &what)
{
    for (auto &it : processes_) {
        INFO(what << ": " << it.name);
        const bool served = run_until([&] { return !it.process->alive() || serves(it); }, wait_limit);
        const auto peak_kb = peak_memory_kb(it.process->id());
        note_descriptors();
        if (const auto *const path = std::getenv("CROWD_FIGURES"))
            std::ofstream(path, std::ios::app) << what << '\t' << it.name << '\t' << peak_kb << " KiB\t"
                                               << it.most_descriptors << " descriptors\n";
        INFO("peak memory " << peak_kb << " KiB, descriptors " << it.most_descriptors);
        CHECK(it.process->alive());
        CHECK(served);
        CHECK(peak_kb <= limits.memory_mb * memory_factor * 1024);
        CHECK(it.most_descriptors <= limits.max_fds);
    }
}

std::string crowd_site::peer_key() const
{
    const auto record = failover::decode_leadership_record(store_->value("baobabport/failover/generation"));
    REQUIRE(record);
    return record->peer_key;
}

} // namespace testing
