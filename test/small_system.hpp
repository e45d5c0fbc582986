/// A store and three hosts that follow it, for tests.
#pragma once

#include "following_host.hpp"
#include "store_model.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace basilpath::test
{

// All waits end within this time.
inline constexpr milliseconds time_step = 11s;

enum class event : std::uint8_t
{
    write_configuration,
    register_leaf,
    drain_leaf,
    remove_leaf,
    evacuate,
    end_evacuation,
    copy,
    restore,
    write_again,
    a_watches,
    a_reads_all,
    b_watches,
    b_reads_all,
    watch_is_delayed,
    read_is_delayed,
    delayed_answer_arrives,
    first_page_is_read,
    last_page_is_read,
    a_sends_to_b,
    b_sends_to_a,
    a_sends_to_c,
    b_sends_to_c,
    c_sends_to_a,
    c_sends_to_b,
    b_starts_again,
    time_passes
};

inline constexpr std::size_t event_count =
    static_cast<std::size_t>(event::time_passes) + 1;

inline constexpr std::array<std::string_view, event_count> event_names = {
    "write_configuration",
    "register_leaf",
    "drain_leaf",
    "remove_leaf",
    "evacuate",
    "end_evacuation",
    "copy",
    "restore",
    "write_again",
    "a_watches",
    "a_reads_all",
    "b_watches",
    "b_reads_all",
    "watch_is_delayed",
    "read_is_delayed",
    "delayed_answer_arrives",
    "first_page_is_read",
    "last_page_is_read",
    "a_sends_to_b",
    "b_sends_to_a",
    "a_sends_to_c",
    "b_sends_to_c",
    "c_sends_to_a",
    "c_sends_to_b",
    "b_starts_again",
    "time_passes"};

/// The store and three hosts, of which two read it.
class small_system
{
public:
    // Plays an event. Returns false if it would change nothing.
    bool play(event one)
    {
        switch (one)
        {
        case event::write_configuration:
            this->store.write_configuration();
            return true;
        case event::register_leaf:
            this->store.register_leaf();
            return true;
        case event::drain_leaf:
            return this->store.drain_leaf();
        case event::remove_leaf:
            return this->store.remove_leaf();
        case event::evacuate:
            return this->store.set_evacuation(true);
        case event::end_evacuation:
            return this->store.set_evacuation(false);
        case event::copy:
            this->store.copy();
            return true;
        case event::restore:
            return this->store.restore();
        case event::write_again:
            return this->store.write_again();
        case event::a_watches:
            return this->watch(this->a);
        case event::a_reads_all:
            return this->read_all(this->a);
        case event::b_watches:
            return this->watch(this->b);
        case event::b_reads_all:
            return this->read_all(this->b);
        case event::watch_is_delayed:
            this->delayed =
                this->a.empty()
                    ? std::nullopt
                    : this->store.watch(this->a.position().revision);
            return this->delayed.has_value();
        case event::read_is_delayed:
            this->delayed = this->store.read_all();
            return true;
        case event::delayed_answer_arrives:
            return this->delayed &&
                   this->deliver(this->a,
                                 *std::exchange(this->delayed, std::nullopt));
        case event::first_page_is_read:
            this->first_page = this->store.read_all();
            return true;
        case event::last_page_is_read:
            return this->first_page && this->read_last_page(*std::exchange(
                                           this->first_page, std::nullopt));
        case event::a_sends_to_b:
            return this->send(this->a, this->b);
        case event::b_sends_to_a:
            return this->send(this->b, this->a);
        case event::a_sends_to_c:
            return this->send(this->a, this->c);
        case event::b_sends_to_c:
            return this->send(this->b, this->c);
        case event::c_sends_to_a:
            return this->send(this->c, this->a);
        case event::c_sends_to_b:
            return this->send(this->c, this->b);
        case event::b_starts_again:
            return !std::exchange(this->b, following_host{}).empty();
        case event::time_passes:
            this->pass_time();
            return true;
        }
        return false;
    }

    // Lets everything come to rest: what was lost is written again, one host
    // reads as the reader of the store does, and sends its view to the others.
    void settle()
    {
        constexpr int rounds = 3;
        for (int i = 0; i < rounds; ++i)
        {
            this->store.write_again();
            const bool whole =
                this->a.empty() ||
                this->a.position().era < this->store.position().era;
            whole ? this->read_all(this->a) : this->watch(this->a);
            this->send(this->a, this->b);
            this->send(this->a, this->c);
            this->pass_time();
        }
    }

    // Returns what does not hold after an event; empty if all does.
    [[nodiscard]] std::string_view fault() const
    {
        const auto broken =
            [this](const following_host& one) -> std::string_view
        {
            if (!one.first_fault().empty())
            {
                return one.first_fault();
            }
            return one.position() != this->store.position() ||
                           one.values() == this->store.values()
                       ? ""
                       : "a view at the store's position has other items";
        };
        return this->first_of(broken);
    }

    // Returns what does not hold once everything has come to rest.
    [[nodiscard]] std::string_view fault_at_rest() const
    {
        const auto broken =
            [this](const following_host& one) -> std::string_view
        {
            if (one.position() != this->store.position())
            {
                return "a host is not at the store's position";
            }
            if (one.configuration() != this->store.newest_version())
            {
                return "a host has not the newest configuration";
            }
            if (one.uses_leaf() != this->store.leaf_serves())
            {
                return "a host does not use what is registered";
            }
            if (one.evacuated() != this->store.evacuated())
            {
                return "a host has not the evacuation of the store";
            }
            return one.lists_leaf() == this->store.has_leaf() &&
                           one.deferred_count() == 0
                       ? ""
                       : "a host still holds back a change";
        };
        const std::string_view before = this->fault();
        return before.empty() ? this->first_of(broken) : before;
    }

private:
    template <class Check>
    [[nodiscard]] std::string_view first_of(const Check& check) const
    {
        for (const following_host* const one : {&this->a, &this->b, &this->c})
        {
            const std::string_view broken = check(*one);
            if (!broken.empty())
            {
                return broken;
            }
        }
        return "";
    }

    bool deliver(following_host& to, const item_update& update)
    {
        const store_position before = to.position();
        const auto confirmed = to.confirmed();
        to.apply(update, this->now, this->now);
        return to.position() != before || to.confirmed() != confirmed;
    }

    bool watch(following_host& one)
    {
        const auto answer = one.empty()
                                ? std::nullopt
                                : this->store.watch(one.position().revision);
        return answer && this->deliver(one, *answer);
    }

    bool read_all(following_host& one)
    {
        return this->deliver(one, this->store.read_all());
    }

    // The leaf is on the second page of a full read, which other events have
    // come before. A read of two eras fails.
    bool read_last_page(item_update read)
    {
        const item_update last = this->store.read_all();
        if (last.era != read.era)
        {
            return false;
        }
        const auto is_leaf = [](const item_change& one)
        {
            return one.key == leaf_key;
        };
        std::erase_if(read.changes, is_leaf);
        std::ranges::copy_if(last.changes, std::back_inserter(read.changes),
                             is_leaf);
        this->a.note_read_in_parts();
        return this->deliver(this->a, read);
    }

    bool send(const following_host& from, following_host& to) const
    {
        if (from.empty())
        {
            return false;
        }
        const store_position before = to.position();
        const auto confirmed = to.confirmed();
        to.take_view(from, this->now);
        return to.position() != before || to.confirmed() != confirmed ||
               !to.first_fault().empty();
    }

    void pass_time()
    {
        this->now += time_step;
        for (following_host* const one : {&this->a, &this->b, &this->c})
        {
            one->pass_time(this->now);
        }
    }

    store_model store;
    following_host a;
    following_host b;
    following_host c;
    std::optional<item_update> delayed;
    std::optional<item_update> first_page;
    instant now{1h};
};

} // namespace basilpath::test
