// The requests and faults of a load run, as read from a workload file.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::load {

/// Requests of one class. Their arrivals follow a fixed schedule, whatever the outcomes.
struct request_stream
{
    std::string name;
    std::string class_name;
    std::string statement;
    std::vector<std::string> databases; ///< used in turn
    std::uint32_t rate = 10;            ///< arrivals a second
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds to{0}; ///< 0: the run's end
    std::uint32_t keys = 0;          ///< number of different keys; 0: a new key for each write
    std::uint32_t sheet_keys = 1;    ///< number of different keys of `route_sheet` reads
    bool write = false;
    std::string read_back_class; ///< reads each acknowledged write back through another entry
    std::chrono::milliseconds deadline{2000};
    bool new_sessions = false; ///< each request begins a session
};

/// A fault that is injected into a group while the load runs.
struct timed_fault
{
    std::chrono::milliseconds at{0};
    std::string database;
    std::string control; ///< JSON for the stand-in's control address; `"crash": "primary"` is resolved
};

struct workload_plan
{
    std::chrono::milliseconds duration{10000};
    std::uint32_t seed = 1;
    std::vector<request_stream> streams;
    std::vector<timed_fault> faults;
};

/**
 * Parses workload files, which are JSON with comments.
 */
class workload_reader
{
public:
    std::optional<workload_plan> read(const std::string &text);

    [[nodiscard]] const std::string &last_reason() const { return last_reason_; }

private:
    std::string last_reason_;
};

} // namespace baobabport::load
