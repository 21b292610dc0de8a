// The memory that clients make a process hold, and the shares that bound it.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace baobabport::limits {

/// Clients with a share of their own, which no other class can take.
enum class client_class : std::uint8_t
{
    callers,
    peers,     ///< other processes, once they have proved their key
    strangers, ///< whoever connects to the port for other processes, until then
    operators, ///< the HTTP ports for the balancer, the operators and metrics
};
inline constexpr std::size_t client_classes = 4;

[[nodiscard]] const char *to_string(client_class it);

class memory_charge;

/**
 * Sums up the bytes that the clients of each class make the process hold.
 *
 * A charge may exceed its class's bound for a moment, since its bytes exist already when it is resized. The
 * account then sheds the largest charges of the class, until the rest is within the bound: a client within
 * the limits holds little, and one that floods the process holds most.
 */
class memory_account
{
public:
    /// Bytes by class.
    using class_bounds = std::array<std::size_t, client_classes>;

    /// A class is under pressure above this share of its bound; its clients are then read one by one.
    static constexpr double pressure_level = 0.75;

    explicit memory_account(const class_bounds &bounds) : bounds_(bounds) {}
    memory_account(const memory_account &) = delete;
    memory_account &operator=(const memory_account &) = delete;
    ~memory_account() = default;

    [[nodiscard]] std::size_t used(client_class of) const { return at(of).used; }
    [[nodiscard]] std::size_t peak(client_class of) const { return at(of).peak; }
    [[nodiscard]] std::size_t bound(client_class of) const
    {
        return bounds_.at(static_cast<std::size_t>(of));
    }
    [[nodiscard]] bool under_pressure(client_class of) const;

    /// Returns true if the class has room for this many more bytes.
    [[nodiscard]] bool fits(client_class of, std::size_t more) const;

private:
    friend class memory_charge;

    struct class_state
    {
        std::size_t used = 0; ///< sum of `charges`
        std::size_t peak = 0;
        std::set<std::pair<std::size_t, memory_charge *>> charges; ///< those that are not 0
        const memory_charge *turn = nullptr; ///< whose client may send more while there is pressure
    };

    [[nodiscard]] const class_state &at(client_class of) const
    {
        return classes_.at(static_cast<std::size_t>(of));
    }
    void replace(memory_charge &it, std::size_t bytes);
    void shed(client_class of);

    class_bounds bounds_;
    std::array<class_state, client_classes> classes_;
};

/**
 * The bytes that one client makes the process hold. They are given back when the charge is destroyed.
 *
 * Invariant: the account's sum contains exactly `bytes()` for this charge.
 */
class memory_charge
{
public:
    /// `shed` makes the client's owner release what the client holds, by closing its connection; it may
    /// destroy this charge.
    memory_charge(std::shared_ptr<memory_account> account, client_class of, std::function<void()> shed);
    ~memory_charge();
    memory_charge(const memory_charge &) = delete;
    memory_charge &operator=(const memory_charge &) = delete;

    /// Sets the number of bytes. If the class is beyond its bound then, its largest charges are shed, which
    /// may end the owner of this one, too.
    void resize(std::size_t bytes);

    /// Returns true if this charge's client may send more although its class is under pressure: one at a time
    /// may, so that its message is completed and the memory is free again.
    bool take_turn();
    void release_turn();

    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    [[nodiscard]] const memory_account &account() const { return *account_; }

private:
    friend class memory_account;

    std::shared_ptr<memory_account> account_;
    client_class class_;
    std::function<void()> shed_;
    std::size_t bytes_ = 0;
};

} // namespace baobabport::limits
