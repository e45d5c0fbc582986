/// Bound on the bytes of messages that a host holds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace basilpath
{

/// Bytes held by the messages of a host beyond a small allowance for each,
/// against one bound. Divided by a dynamic threshold, as in shared-memory
/// switches: a holder, for instance a replica, may hold as much as is free. One
/// holder alone gets half of the bound, n holders each get 1 / (n + 1) of it.
class memory_budget
{
public:
    /// Bound for a host whose memory is not known.
    static constexpr std::size_t default_bound = 64'000'000;

    /// The bytes of one holder.
    class account;

    explicit memory_budget(std::size_t bound) : bound(bound) {}

    /// Changes the bound; what is held already stays.
    void set_bound(std::size_t bytes)
    {
        this->bound = bytes;
    }

    [[nodiscard]] std::size_t limit() const
    {
        return this->bound;
    }

    [[nodiscard]] std::size_t held() const
    {
        return this->held_bytes;
    }

    [[nodiscard]] std::size_t free() const
    {
        return this->bound > this->held_bytes ? this->bound - this->held_bytes
                                              : 0;
    }

    /// Returns whether more than a quarter of the bound is held.
    [[nodiscard]] bool scarce() const
    {
        return this->held_bytes > this->bound / 4;
    }

    /// Number of messages that were refused room.
    [[nodiscard]] std::uint64_t refused() const
    {
        return this->refused_count;
    }

private:
    std::size_t bound;
    std::size_t held_bytes = 0;
    std::uint64_t refused_count = 0;
};

/// Keeps its budget alive.
class memory_budget::account
{
public:
    explicit account(std::shared_ptr<memory_budget> budget)
        : budget(std::move(budget))
    {
    }

    ~account() = default;
    account(const account&) = delete;
    account& operator=(const account&) = delete;

    [[nodiscard]] std::size_t held() const
    {
        return this->bytes;
    }

    [[nodiscard]] const memory_budget& owner() const
    {
        return *this->budget;
    }

    /// Returns whether the holder, with more bytes, would hold no more than
    /// what is left free. Counts a refusal.
    [[nodiscard]] bool may_take(std::size_t more);

    void take(std::size_t more);

    void release(std::size_t less);

private:
    std::shared_ptr<memory_budget> budget;
    std::size_t bytes = 0;
};

/// The bytes of one message, held until the charge is destroyed.
class memory_charge
{
public:
    /// The first `allowance` bytes do not count against the bound.
    memory_charge(std::shared_ptr<memory_budget::account> holder,
                  std::size_t allowance)
        : holder(std::move(holder)), allowance(allowance)
    {
    }

    ~memory_charge()
    {
        this->holder->release(this->bytes);
    }

    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;

    /// Changes the bytes of the message. Returns false, and changes nothing,
    /// when there is no room for them.
    [[nodiscard]] bool try_resize(std::size_t total);

    /// Changes the bytes of the message whatever is free.
    void resize(std::size_t total);

    /// Returns the bytes that count against the bound.
    [[nodiscard]] std::size_t size() const
    {
        return this->bytes;
    }

private:
    [[nodiscard]] std::size_t beyond_allowance(std::size_t total) const
    {
        return total > this->allowance ? total - this->allowance : 0;
    }

    std::shared_ptr<memory_budget::account> holder;
    std::size_t allowance;
    std::size_t bytes = 0;
};

} // namespace basilpath
