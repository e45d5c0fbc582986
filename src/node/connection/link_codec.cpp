#include "node/connection/link_codec.hpp"

#include "node/connection/message_pack.hpp"
#include "node/request/record_merge.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <vector>

namespace basilpath
{

namespace
{

using nlohmann::json;

// First element of each message; it determines the meaning of the others.
enum class message_kind : std::uint8_t
{
    hello,
    subquery,
    shard_cancel,
    cancel,
    report
};

// Upper bound on every wait in a message; no caller waits this long.
constexpr microseconds max_wait = std::chrono::hours(1);

json encode_kind(message_kind kind)
{
    return static_cast<unsigned>(kind);
}

json to_json(const caller_query& query)
{
    json headers = json::array();
    for (const message_header& one : query.headers)
    {
        headers.push_back(json::array({one.name, one.value}));
    }
    return json::array({query.method, query.host, query.target,
                        std::move(headers), query.body, query.id.value});
}

json to_json(const link_hello& one)
{
    return json::array({encode_kind(message_kind::hello), one.protocol});
}

json to_json(const subquery& one)
{
    json shards = json::array();
    for (const subquery_shard& wanted : one.shards)
    {
        json shard = json::array({wanted.shard});
        for (const leaf_id& replica : wanted.asked)
        {
            shard.push_back(replica.value);
        }
        shards.push_back(std::move(shard));
    }
    return json::array({encode_kind(message_kind::subquery), one.number.value,
                        one.version.value, one.route, std::move(shards),
                        one.report_after.count(), one.soft_timeout.count(),
                        one.timeout.count(), one.record_floor,
                        to_json(*one.query), one.separate_reports});
}

json to_json(const subquery_shard_cancel& one)
{
    return json::array(
        {encode_kind(message_kind::shard_cancel), one.number.value, one.shard});
}

json to_json(const subquery_cancel& one)
{
    return json::array({encode_kind(message_kind::cancel), one.number.value});
}

json to_json(const subquery_report& one)
{
    json parts = json::array();
    for (const reported_part& part : one.parts)
    {
        parts.push_back(json::array({part.shard, part.signature}));
    }
    json missing_shards = json::array();
    for (const missing_shard& absent : one.missing_shards)
    {
        missing_shards.push_back(
            json::array({absent.shard, static_cast<unsigned>(absent.why),
                         absent.replica.value}));
    }
    return json::array({encode_kind(message_kind::report), one.number.value,
                        std::move(parts), std::move(missing_shards),
                        one.records});
}

// Returns null when the wait is negative or longer than max_wait.
std::optional<microseconds> to_wait(const json& from)
{
    const microseconds wait(from.get<std::int64_t>());
    return wait >= microseconds(0) && wait <= max_wait ? std::optional(wait)
                                                       : std::nullopt;
}

caller_query to_query(const json& from, instant now)
{
    caller_query query;
    query.method = from.at(0).get<std::string>();
    query.host = from.at(1).get<std::string>();
    query.target = from.at(2).get<std::string>();
    for (const json& one : from.at(3))
    {
        query.headers.push_back(
            {one.at(0).get<std::string>(), one.at(1).get<std::string>()});
    }
    query.body = from.at(4).get<std::string>();
    query.id = request_id(from.at(5).get<std::string>());
    query.arrived = now;
    return query;
}

std::optional<link_message> to_subquery(const json& from, instant now)
{
    subquery one;
    one.number = subquery_number(from.at(1).get<std::uint64_t>());
    one.version = document_number(from.at(2).get<std::uint64_t>());
    one.route = from.at(3).get<std::string>();
    for (const json& wanted : from.at(4))
    {
        subquery_shard shard{wanted.at(0).get<std::size_t>(), {}};
        for (std::size_t i = 1; i < wanted.size(); ++i)
        {
            shard.asked.emplace_back(wanted.at(i).get<std::string>());
        }
        one.shards.push_back(std::move(shard));
    }
    const auto report_after = to_wait(from.at(5));
    const auto soft_timeout = to_wait(from.at(6));
    const auto timeout = to_wait(from.at(7));
    one.record_floor = from.at(8).get<std::string>();
    const bool valid =
        report_after && soft_timeout && timeout &&
        (one.record_floor.empty() || one.record_floor.size() == record_bytes);
    if (!valid)
    {
        return std::nullopt;
    }
    one.report_after = *report_after;
    one.soft_timeout = *soft_timeout;
    one.timeout = *timeout;
    one.query = std::make_shared<const caller_query>(to_query(from.at(9), now));
    one.separate_reports = from.at(10).get<bool>();
    return one;
}

// Rejects a report that lists a shard twice, as it would be counted twice.
bool has_unique_shards(const subquery_report& report)
{
    std::vector<std::size_t> listed;
    std::ranges::transform(report.parts, std::back_inserter(listed),
                           &reported_part::shard);
    std::ranges::transform(report.missing_shards, std::back_inserter(listed),
                           &missing_shard::shard);
    std::ranges::sort(listed);
    return std::ranges::adjacent_find(listed) == listed.end();
}

std::optional<link_message> to_report(const json& from)
{
    subquery_report one;
    one.number = subquery_number(from.at(1).get<std::uint64_t>());
    for (const json& part : from.at(2))
    {
        one.parts.push_back(
            {part.at(0).get<std::size_t>(), part.at(1).get<std::string>()});
    }
    for (const json& absent : from.at(3))
    {
        const auto why = absent.at(1).get<unsigned>();
        if (why > static_cast<unsigned>(missing_reason::not_sent))
        {
            return std::nullopt;
        }
        one.missing_shards.push_back(
            {absent.at(0).get<std::size_t>(), static_cast<missing_reason>(why),
             leaf_id(absent.at(2).get<std::string>())});
    }
    one.records = from.at(4).get<std::string>();
    return one.records.size() % record_bytes == 0 && has_unique_shards(one)
               ? std::optional<link_message>(std::move(one))
               : std::nullopt;
}

} // namespace

std::string encode_link_message(const link_message& message)
{
    return encode_message(
        std::visit([](const auto& one) { return to_json(one); }, message));
}

std::optional<link_message> decode_link_message(std::string_view bytes,
                                                instant now)
{
    return decode_as<link_message>(
        bytes,
        [now](const json& from) -> std::optional<link_message>
        {
            switch (from.at(0).get<unsigned>())
            {
            case static_cast<unsigned>(message_kind::hello):
                return link_hello{from.at(1).get<std::uint32_t>()};
            case static_cast<unsigned>(message_kind::subquery):
                return to_subquery(from, now);
            case static_cast<unsigned>(message_kind::shard_cancel):
                return subquery_shard_cancel{
                    subquery_number(from.at(1).get<std::uint64_t>()),
                    from.at(2).get<std::size_t>()};
            case static_cast<unsigned>(message_kind::cancel):
                return subquery_cancel{
                    subquery_number(from.at(1).get<std::uint64_t>())};
            case static_cast<unsigned>(message_kind::report):
                return to_report(from);
            default:
                return std::nullopt;
            }
        });
}

} // namespace basilpath
