#include "support/metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <sstream>

namespace baobabport::support {

namespace bh = boost::histogram;

namespace {

constexpr int bins = 120;
constexpr double min_seconds = 1e-4;
constexpr double max_seconds = 100.0;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto make_bins()
{
    return bh::make_histogram(log_axis(bins, min_seconds, max_seconds));
}

/// Index of the underflow bin. Bins are accessed by index, since under C++20 the comparison of the `indexed`
/// iterators of this Boost version calls itself.
constexpr int underflow = -1;

template <typename Values>
double upper_edge(const Values &values, int bin)
{
    return std::min(values.axis().value(bin + 1), max_seconds);
}

std::string in_braces(const std::string &labels)
{
    return labels.empty() ? "" : '{' + labels + '}';
}

} // namespace

class latency_histogram::impl
{
public:
    decltype(make_bins()) values = make_bins();
    std::uint64_t count = 0;
    double sum = 0;
};

latency_histogram::latency_histogram() : impl_(std::make_unique<impl>()) {}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram &&) noexcept = default;
latency_histogram &latency_histogram::operator=(latency_histogram &&) noexcept = default;

void latency_histogram::record(std::chrono::microseconds value)
{
    const std::chrono::duration<double> seconds = value;
    impl_->values(seconds.count());
    ++impl_->count;
    impl_->sum += seconds.count();
}

std::uint64_t latency_histogram::count() const
{
    return impl_->count;
}

std::chrono::microseconds latency_histogram::quantile(double quantile_level) const
{
    const auto target_count = static_cast<double>(impl_->count) * quantile_level;
    double cumulative_count = 0;
    for (int n = underflow; n <= bins; ++n) {
        const double in_bin = impl_->values.at(n);
        cumulative_count += in_bin;
        if (cumulative_count < target_count || in_bin == 0)
            continue;
        const std::chrono::duration<double> edge(upper_edge(impl_->values, n));
        return std::chrono::duration_cast<std::chrono::microseconds>(edge);
    }
    return std::chrono::microseconds(0);
}

void latency_histogram::write(const std::string &name, const std::string &labels, std::string &out) const
{
    std::ostringstream text;
    double cumulative_count = 0;
    const auto prefix = labels.empty() ? "" : labels + ',';
    for (int n = underflow; n < bins; ++n) {
        const double in_bin = impl_->values.at(n);
        cumulative_count += in_bin;
        if (in_bin > 0)
            text << name << "_bucket{" << prefix << "le=\"" << upper_edge(impl_->values, n) << "\"} "
                 << cumulative_count << '\n';
    }
    text << name << "_bucket{" << prefix << "le=\"+Inf\"} " << impl_->count << '\n';
    text << name << "_sum" << in_braces(labels) << ' ' << impl_->sum << '\n';
    text << name << "_count" << in_braces(labels) << ' ' << impl_->count << '\n';
    out += text.str();
}

std::string label(std::string_view name, std::string_view value)
{
    std::string out(name);
    out += "=\"";
    for (const char it : value) {
        if (it == '\n') {
            out += "\\n";
            continue;
        }
        if (it == '"' || it == '\\')
            out += '\\';
        out += it;
    }
    return out + '"';
}

void metrics::count(const std::string &name, const std::string &labels, std::uint64_t n)
{
    counters_[{name, labels}] += n;
}

void metrics::set(const std::string &name, const std::string &labels, double value)
{
    gauges_[{name, labels}] = value;
}

void metrics::remove(const std::string &name, const std::string &labels)
{
    gauges_.erase({name, labels});
}

void metrics::record(const std::string &name, const std::string &labels, std::chrono::microseconds value)
{
    histograms_[{name, labels}].record(value);
}

std::string metrics::text() const
{
    std::ostringstream lines;
    for (const auto &[key, value] : counters_)
        lines << key.name << in_braces(key.labels) << ' ' << value << '\n';
    for (const auto &[key, value] : gauges_)
        lines << key.name << in_braces(key.labels) << ' ' << value << '\n';
    auto out = lines.str();
    for (const auto &[key, value] : histograms_)
        value.write(key.name, key.labels, out);
    return out;
}

} // namespace baobabport::support
