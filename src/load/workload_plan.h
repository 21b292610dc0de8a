// What a load run sends, as read from a workload file.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::load {

/// Requests of one class, arriving on their own schedule whatever becomes of them.
struct request_stream
{
    std::string name;
    std::string class_name;
    std::string statement;
    std::vector<std::string> databases; ///< taken in turn
    std::uint32_t rate = 10;            ///< arrivals a second
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds to{0}; ///< 0: the run's end
    std::uint32_t keys = 0;          ///< 0: each write has a key of its own
    std::uint32_t prefixes = 1;      ///< route sheets: how many different ones
    bool write = false;
    std::string read_back_class; ///< after each acknowledged write, read it through another entry
    std::chrono::milliseconds deadline{2000};
    bool new_sessions = false; ///< each request begins a session
};

/// A change made to a group while the load runs.
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
 * Reads workload files, JSON with comments.
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
