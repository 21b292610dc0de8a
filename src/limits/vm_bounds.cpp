// Shares of memory and descriptors.

#include "limits/vm_bounds.h"

#include <algorithm>

namespace baobabport::limits {

namespace {

constexpr std::uint64_t unknown_memory_mb = 512; ///< the largest VM of the deployments
constexpr std::uint64_t own_memory_mb = 24;
constexpr std::uint64_t least_spare_mb = 24;
constexpr double accounted_share = 0.6;
/// Callers hold several copies of a message of 1 MiB; peers pass on messages of up to 4 MiB.
constexpr std::array<double, client_classes> class_shares{0.5, 0.35, 0.05, 0.1};
constexpr double mib = 1024 * 1024;

constexpr std::uint64_t own_descriptors = 200;
constexpr std::uint64_t least_spare_descriptors = 100;
constexpr double callers_share = 0.5;    ///< 1,405 of 3,010 descriptors; a VM has a few hundred sessions
constexpr double peers_share = 0.15;     ///< 421 of 3,010 descriptors; the largest fleet has 295 VMs
constexpr double operators_share = 0.03; ///< at each port; 84 of 3,010 descriptors
constexpr std::size_t least_operators = 8;
constexpr std::size_t most_operators = 128;

} // namespace

memory_account::class_bounds memory_bounds(std::uint64_t memory_mb)
{
    const auto memory = memory_mb == 0 ? unknown_memory_mb : memory_mb;
    const auto spare = std::max(memory, own_memory_mb + least_spare_mb) - own_memory_mb;
    memory_account::class_bounds out{};
    std::transform(class_shares.begin(), class_shares.end(), out.begin(), [spare](double share) {
        return static_cast<std::size_t>(static_cast<double>(spare) * mib * accounted_share * share);
    });
    return out;
}

descriptor_shares connection_bounds(std::uint64_t max_fds)
{
    const auto spare =
        static_cast<double>(std::max(max_fds, own_descriptors + least_spare_descriptors) - own_descriptors);
    const auto share = [spare](double of) { return static_cast<std::size_t>(spare * of); };
    return {share(callers_share), share(peers_share),
            std::clamp(share(operators_share), least_operators, most_operators)};
}

} // namespace baobabport::limits
