#include "node/connection/peer_datagram.hpp"

#include "node/connection/message_pack.hpp"
#include "node/connection/packed_text.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace basilpath
{

namespace
{

using nlohmann::json;

// Upper bound on accepted ages; hosts report a crash for minutes at most.
constexpr milliseconds max_age = std::chrono::hours(1);

// Array index of a field that hosts of the first release do not send.
constexpr std::size_t links_index = 9;

// Array index of the demands, which hosts of earlier releases do not send, and
// the number of values of each.
constexpr std::size_t demands_index = 10;
constexpr std::size_t values_per_demand = 3;

// Array index of whether a host has lost the store; left out if it has not.
constexpr std::size_t store_lost_index = 11;

// Array indices of parts that a datagram may lack; hosts of earlier releases
// read only the first ones. In place of no update, one that changes nothing is
// sent when other parts follow it.
constexpr std::size_t update_index = 6;
constexpr std::size_t limits_index = 7;
constexpr std::size_t quarantines_index = 8;
constexpr std::size_t era_index = 9;
const item_update no_update{1, 0, {}};

// Array index of the era of an update. An update or a datagram without one is
// of the era of stores that have none.
constexpr std::size_t update_era_index = 3;

// Array indices of the value of a change, which is text or packed, and of the
// size of the text if it is packed.
constexpr std::size_t packed_value_index = 2;
constexpr std::size_t value_size_index = 3;

// Rates are sent as whole hundredths, which takes fewer bytes than a double.
constexpr double rate_unit = 0.01;

// A higher limit is sent as this one.
constexpr double max_rate = 1e9;

// Messages are MessagePack arrays rather than maps, to omit field names.
json to_json(const member& one)
{
    json demands = json::array();
    for (const host_demand& demand : one.demands)
    {
        demands.push_back(demand.group.value);
        demands.push_back(demand.local);
        demands.push_back(demand.remote);
    }
    json encoded = json::array(
        {one.address.value, one.counter, static_cast<unsigned>(one.state),
         one.start.value, one.domain.value, one.callers.value, one.ready,
         one.processor_share, one.link_mbps, one.links.value,
         std::move(demands)});
    if (one.store_lost)
    {
        encoded.push_back(true);
    }
    return encoded;
}

// Rejects records with negative or non-finite numbers.
bool is_valid(const member& one)
{
    return std::isfinite(one.processor_share) && one.processor_share >= 0 &&
           std::isfinite(one.link_mbps) && one.link_mbps >= 0;
}

// Returns null when the age is negative or exceeds max_age.
std::optional<microseconds> to_age(std::int64_t us)
{
    const microseconds age(us);
    return age >= microseconds(0) && age <= max_age ? std::optional(age)
                                                    : std::nullopt;
}

json to_json(const named_limit& one, instant now)
{
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - one.confirmed);
    return json::array(
        {one.replica.value, age.count(),
         one.rate ? json(std::llround(std::min(one.rate->value, max_rate) /
                                      rate_unit))
                  : json()});
}

// Returns null when the age or the rate is out of range.
std::optional<named_limit> to_limit(const json& from, instant now)
{
    const milliseconds age(from.at(1).get<std::int64_t>());
    named_limit one;
    one.replica = leaf_id(from.at(0).get<std::string>());
    if (!from.at(2).is_null())
    {
        const auto units = from.at(2).get<std::int64_t>();
        one.rate = request_rate(static_cast<double>(units) * rate_unit);
    }
    if (age < milliseconds(0) || age > max_age ||
        (one.rate && one.rate->value < 0))
    {
        return std::nullopt;
    }
    one.confirmed = now - age;
    return one;
}

json to_json(const quarantine& one)
{
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(one.remaining);
    return json::array({one.request_fingerprint.value, remaining.count()});
}

// Returns null when the remaining time is out of range.
std::optional<quarantine> to_quarantine(const json& from)
{
    const milliseconds remaining(from.at(1).get<std::int64_t>());
    if (remaining < milliseconds(0) || remaining > max_age)
    {
        return std::nullopt;
    }
    return quarantine{
        fingerprint(from.at(0).get<std::uint64_t>()), {}, remaining};
}

std::vector<host_demand> to_demands(const json& from)
{
    std::vector<host_demand> demands;
    for (std::size_t i = 0; i + values_per_demand <= from.size();
         i += values_per_demand)
    {
        demands.push_back({demand_group(from.at(i).get<std::uint32_t>()),
                           from.at(i + 1).get<demand_level>(),
                           from.at(i + 2).get<demand_level>()});
    }
    return demands;
}

member to_member(const json& from)
{
    member one;
    one.address = peer_address(from.at(0).get<std::string>());
    one.counter = from.at(1).get<std::uint64_t>();
    one.state = static_cast<member_state>(std::min(
        from.at(2).get<unsigned>(), static_cast<unsigned>(member_state::dead)));
    one.start = incarnation(from.at(3).get<std::uint64_t>());
    one.domain = failure_domain(from.at(4).get<std::string>());
    one.callers = http_address(from.at(5).get<std::string>());
    one.ready = from.at(6).get<bool>();
    one.processor_share = from.at(7).get<double>();
    one.link_mbps = from.at(8).get<double>();
    if (from.size() > links_index)
    {
        one.links = peer_address(from.at(links_index).get<std::string>());
    }
    if (from.size() > demands_index)
    {
        one.demands = to_demands(from.at(demands_index));
    }
    if (from.size() > store_lost_index)
    {
        one.store_lost = from.at(store_lost_index).get<bool>();
    }
    return one;
}

// Packs long values if `packed` is not null.
json to_json(const item_update& update, packed_values* packed = nullptr)
{
    const std::string none;
    json changes = json::array();
    for (const item_change& one : update.changes)
    {
        json change = json::array({one.key, one.revision});
        const std::string& short_form = packed ? packed->of(one) : none;
        if (!short_form.empty())
        {
            change.push_back(json::binary(json::binary_t::container_type(
                short_form.begin(), short_form.end())));
            change.push_back(one.value->size());
        }
        else if (one.value)
        {
            change.push_back(*one.value);
        }
        changes.push_back(std::move(change));
    }
    json encoded =
        json::array({update.after, update.revision, std::move(changes)});
    if (update.era != store_era{})
    {
        encoded.push_back(update.era.value);
    }
    return encoded;
}

// Unpacks the value of a change. Returns false when it is not valid.
bool unpack_value(const json& from, item_change& change, packed_values* packed)
{
    const auto& bytes = from.at(packed_value_index).get_binary();
    std::string text(bytes.begin(), bytes.end());
    change.value =
        unpack_text(text, from.at(value_size_index).get<std::size_t>());
    if (change.value && packed)
    {
        packed->keep(change, std::move(text));
    }
    return change.value.has_value();
}

// Returns null when a packed value is not valid.
std::optional<item_update> to_update(const json& from,
                                     packed_values* packed = nullptr)
{
    item_update update;
    update.after = from.at(0).get<store_revision>();
    update.revision = from.at(1).get<store_revision>();
    if (from.size() > update_era_index)
    {
        update.era = store_era(from.at(update_era_index).get<std::uint64_t>());
    }
    for (const json& one : from.at(2))
    {
        item_change change{one.at(0).get<std::string>(), std::nullopt,
                           one.at(1).get<store_revision>(), update.era};
        if (one.size() > value_size_index)
        {
            if (!unpack_value(one, change, packed))
            {
                return std::nullopt;
            }
        }
        else if (one.size() > packed_value_index)
        {
            change.value = one.at(packed_value_index).get<std::string>();
        }
        update.changes.push_back(std::move(change));
    }
    return update;
}

} // namespace

std::string encode_datagram(const peer_datagram& datagram, instant now)
{
    json suspected_crashes = json::array();
    for (const suspected_crash& one : datagram.suspected_crashes)
    {
        suspected_crashes.push_back(
            json::array({one.request_fingerprint.value, one.replica.value,
                         (now - one.at).count()}));
    }
    json gossip = json::array();
    for (const member& one : datagram.gossip)
    {
        gossip.push_back(to_json(one));
    }
    json message =
        json::array({static_cast<unsigned>(datagram.kind),
                     to_json(datagram.from), datagram.position.revision,
                     datagram.age ? json(datagram.age->count()) : json(),
                     std::move(gossip), std::move(suspected_crashes)});
    const bool has_era = datagram.position.era != store_era{};
    const bool has_quarantines = !datagram.quarantines.empty() || has_era;
    const bool has_limits = !datagram.limits.empty() || has_quarantines;
    if (datagram.update || has_limits)
    {
        message.push_back(to_json(datagram.update.value_or(no_update)));
    }
    if (has_limits)
    {
        json limits = json::array();
        for (const named_limit& one : datagram.limits)
        {
            limits.push_back(to_json(one, now));
        }
        message.push_back(std::move(limits));
    }
    if (has_quarantines)
    {
        json quarantines = json::array();
        for (const quarantine& one : datagram.quarantines)
        {
            quarantines.push_back(to_json(one));
        }
        message.push_back(std::move(quarantines));
    }
    if (has_era)
    {
        message.push_back(datagram.position.era.value);
    }
    return encode_message(message);
}

std::optional<peer_datagram> decode_datagram(std::string_view bytes,
                                             instant now)
{
    return decode_as<peer_datagram>(
        bytes,
        [now](const json& message) -> std::optional<peer_datagram>
        {
            peer_datagram datagram;
            datagram.kind = static_cast<datagram_kind>(
                std::min(message.at(0).get<unsigned>(),
                         static_cast<unsigned>(datagram_kind::gossip)));
            datagram.from = to_member(message.at(1));
            if (!is_valid(datagram.from))
            {
                return std::nullopt;
            }
            datagram.position.revision = message.at(2).get<store_revision>();
            if (!message.at(3).is_null())
            {
                const milliseconds age(message.at(3).get<std::int64_t>());
                if (age < milliseconds(0))
                {
                    return std::nullopt;
                }
                datagram.age = std::min<milliseconds>(age, max_age);
            }
            for (const json& one : message.at(4))
            {
                datagram.gossip.push_back(to_member(one));
                if (!is_valid(datagram.gossip.back()))
                {
                    return std::nullopt;
                }
            }
            for (const json& one : message.at(5))
            {
                const auto age = to_age(one.at(2).get<std::int64_t>());
                if (!age)
                {
                    return std::nullopt;
                }
                datagram.suspected_crashes.push_back(
                    {fingerprint(one.at(0).get<std::uint64_t>()),
                     leaf_id(one.at(1).get<std::string>()), now - *age});
            }
            if (message.size() > update_index)
            {
                datagram.update = to_update(message.at(update_index));
                if (!datagram.update)
                {
                    return std::nullopt;
                }
            }
            if (message.size() > limits_index)
            {
                for (const json& one : message.at(limits_index))
                {
                    const auto limit = to_limit(one, now);
                    if (!limit)
                    {
                        return std::nullopt;
                    }
                    datagram.limits.push_back(*limit);
                }
            }
            if (message.size() > quarantines_index)
            {
                for (const json& one : message.at(quarantines_index))
                {
                    const auto decoded = to_quarantine(one);
                    if (!decoded)
                    {
                        return std::nullopt;
                    }
                    datagram.quarantines.push_back(*decoded);
                }
            }
            if (message.size() > era_index)
            {
                datagram.position.era =
                    store_era(message.at(era_index).get<std::uint64_t>());
            }
            return datagram;
        });
}

std::string encode_update(const item_update& update)
{
    return encode_message(to_json(update));
}

std::string encode_update(const item_update& update, packed_values& packed)
{
    return encode_message(to_json(update, &packed));
}

std::optional<item_update> decode_update(std::string_view bytes)
{
    return decode_as<item_update>(bytes, [](const json& message)
                                  { return to_update(message); });
}

std::optional<item_update> decode_update(std::string_view bytes,
                                         packed_values& packed)
{
    return decode_as<item_update>(bytes, [&packed](const json& message)
                                  { return to_update(message, &packed); });
}

} // namespace basilpath
