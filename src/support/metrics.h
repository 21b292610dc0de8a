// Counters, gauges and latency histograms of one process, written as Prometheus text.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace baobabport::support {

/**
 * A latency histogram on a logarithmic axis, from 0.1 ms to 100 s.
 */
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram &) = delete;
    latency_histogram &operator=(const latency_histogram &) = delete;
    latency_histogram(latency_histogram &&) noexcept;
    latency_histogram &operator=(latency_histogram &&) noexcept;

    void record(std::chrono::microseconds value);

    [[nodiscard]] std::uint64_t count() const;

    /**
     * Returns the upper edge of the bin in which the quantile lies; 0 if there are no values.
     */
    [[nodiscard]] std::chrono::microseconds quantile(double quantile_level) const;

    /// Appends the bins as a Prometheus histogram.
    void write(const std::string &name, const std::string &labels, std::string &out) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/**
 * Returns `name="value"` as Prometheus text; the value may hold any characters.
 */
[[nodiscard]] std::string label(std::string_view name, std::string_view value);

/**
 * Named counters, gauges and histograms; labels are given as Prometheus text, for example `class="booking"`.
 */
class metrics
{
public:
    void count(const std::string &name, const std::string &labels, std::uint64_t n = 1);
    void set(const std::string &name, const std::string &labels, double value);
    void record(const std::string &name, const std::string &labels, std::chrono::microseconds value);
    /// Removes a gauge.
    void remove(const std::string &name, const std::string &labels);

    /**
     * Returns all metrics as Prometheus text.
     */
    [[nodiscard]] std::string text() const;

private:
    struct series_key
    {
        std::string name;
        std::string labels;
        auto operator<=>(const series_key &) const = default;
    };

    std::map<series_key, std::uint64_t> counters_;
    std::map<series_key, double> gauges_;
    std::map<series_key, latency_histogram> histograms_;
};

} // namespace baobabport::support
