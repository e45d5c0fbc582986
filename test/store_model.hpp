/// A model of the platform's store for tests.
#pragma once

#include "node/version/item_cache.hpp"
#include "node/version/replica.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace basilpath::test
{

inline const std::string config_key = "op/config";
inline const std::string leaf_key = "servers/i-1";
inline const std::string evacuation_key = "op/evacuate/a";
inline const leaf_id leaf("i-1");

// A registration as the value of an item.
inline std::string to_value(const replica& one)
{
    constexpr std::int64_t starts = 10'000;
    return std::to_string(one.started * starts + one.sequence * 2 +
                          (one.leaving ? 1 : 0));
}

inline replica to_replica(const std::string& value)
{
    constexpr std::int64_t starts = 10'000;
    const std::int64_t number = std::stoll(value);
    replica one;
    one.id = leaf;
    one.started = number / starts;
    one.sequence = number % starts / 2;
    one.leaving = number % 2 == 1;
    return one;
}

using item_values = std::map<std::string, std::string>;

/// The store, and what its writers have written last.
class store_model
{
public:
    void write(const std::string& key, std::optional<std::string> value)
    {
        ++this->revision;
        if (value)
        {
            this->items[key] = {*value, this->revision};
        }
        else
        {
            this->items.erase(key);
        }
        this->history.push_back({key, std::move(value), this->revision});
    }

    void write_configuration()
    {
        ++this->version;
        this->write(config_key, std::to_string(this->version));
    }

    // The leaf registers, renews its registration or starts again.
    void register_leaf()
    {
        if (!this->leaf_lives)
        {
            ++this->registration.started;
            this->registration.sequence = 0;
            this->registration.leaving = false;
            this->leaf_lives = true;
        }
        ++this->registration.sequence;
        this->write(leaf_key, to_value(this->registration));
    }

    [[nodiscard]] bool leaf_serves() const
    {
        return this->leaf_lives && !this->registration.leaving;
    }

    // Returns whether the leaf served before.
    bool drain_leaf()
    {
        if (!this->leaf_serves())
        {
            return false;
        }
        this->registration.leaving = true;
        this->register_leaf();
        return true;
    }

    [[nodiscard]] bool has_leaf() const
    {
        return this->leaf_lives;
    }

    // Returns whether the leaf was there.
    bool remove_leaf()
    {
        if (!this->leaf_lives)
        {
            return false;
        }
        this->leaf_lives = false;
        if (this->items.contains(leaf_key))
        {
            this->write(leaf_key, std::nullopt);
        }
        return true;
    }

    [[nodiscard]] bool evacuated() const
    {
        return this->evacuation;
    }

    // The operator evacuates the failure domain or takes that back. Returns
    // whether that is a change.
    bool set_evacuation(bool in_force)
    {
        if (this->evacuation == in_force)
        {
            return false;
        }
        this->evacuation = in_force;
        if (this->lacks_evacuation())
        {
            this->write_evacuation();
        }
        return true;
    }

    void copy()
    {
        this->kept = std::make_shared<const copied>(
            copied{this->items, this->revision, this->history});
    }

    // Returns whether there is a copy to come back from.
    bool restore()
    {
        if (!this->kept)
        {
            return false;
        }
        this->items = this->kept->items;
        this->revision = this->kept->revision;
        this->history = this->kept->history;
        ++this->era.value;
        return true;
    }

    // Returns whether the copy has lost something that its writers wrote.
    [[nodiscard]] bool lacks_writes() const
    {
        return this->lacks_configuration() || this->lacks_leaf() ||
               this->lacks_evacuation();
    }

    // What was lost is written again; a leaf that is gone is removed. Returns
    // whether anything was lost.
    bool write_again()
    {
        if (!this->lacks_writes())
        {
            return false;
        }
        if (this->lacks_configuration())
        {
            this->write(config_key, std::to_string(this->version));
        }
        if (this->lacks_evacuation())
        {
            this->write_evacuation();
        }
        if (this->lacks_leaf())
        {
            if (this->leaf_lives)
            {
                this->register_leaf();
            }
            else
            {
                this->write(leaf_key, std::nullopt);
            }
        }
        return true;
    }

    [[nodiscard]] item_update read_all() const
    {
        item_update update{0, this->revision, {}, this->era};
        for (const auto& [key, one] : this->items)
        {
            update.changes.push_back({key, one.value, one.revision});
        }
        return update;
    }

    // Returns what a watch answers; nothing for a revision that the store does
    // not have. The store knows no era of the revision.
    [[nodiscard]] std::optional<item_update> watch(store_revision after) const
    {
        if (after > this->revision)
        {
            return std::nullopt;
        }
        item_update update{after, this->revision, {}, this->era};
        std::ranges::copy_if(this->history, std::back_inserter(update.changes),
                             [after](const item_change& one)
                             { return one.revision > after; });
        return update;
    }

    [[nodiscard]] store_position position() const
    {
        return {this->era, this->revision};
    }

    [[nodiscard]] item_values values() const
    {
        item_values result;
        for (const auto& [key, one] : this->items)
        {
            result.emplace(key, one.value);
        }
        return result;
    }

    [[nodiscard]] std::int64_t newest_version() const
    {
        return this->version;
    }

    [[nodiscard]] const replica& last_registration() const
    {
        return this->registration;
    }

private:
    struct item
    {
        std::string value;
        store_revision revision = 0;
    };

    struct copied
    {
        std::map<std::string, item> items;
        store_revision revision = 0;
        std::vector<item_change> history;
    };

    [[nodiscard]] bool lacks_configuration() const
    {
        const auto found = this->items.find(config_key);
        return this->version > 0 &&
               (found == this->items.end() ||
                found->second.value != std::to_string(this->version));
    }

    [[nodiscard]] bool lacks_leaf() const
    {
        const auto found = this->items.find(leaf_key);
        const bool listed = found != this->items.end();
        return this->leaf_lives ? !listed || found->second.value !=
                                                 to_value(this->registration)
                                : listed;
    }

    void write_evacuation()
    {
        this->write(evacuation_key, this->evacuation
                                        ? std::optional<std::string>("1")
                                        : std::nullopt);
    }

    [[nodiscard]] bool lacks_evacuation() const
    {
        return this->items.contains(evacuation_key) != this->evacuation;
    }

    std::map<std::string, item> items;
    store_revision revision = 1;
    std::vector<item_change> history;
    /// The first answers name none.
    store_era era;
    std::shared_ptr<const copied> kept;
    std::int64_t version = 0;
    replica registration;
    bool leaf_lives = false;
    bool evacuation = false;
};

} // namespace basilpath::test
