/// Leaves that follow a script in virtual time, and a relay in front of them.
#pragma once

#include "connection/leaf_state.hpp"
#include "process/relay.hpp"
#include "process/system_state.hpp"
#include "session_record.hpp"
#include "version/index_version.hpp"
#include "virtual_runtime.hpp"

#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace basilpath::test
{

using namespace std::chrono_literals;

/// One call as a leaf sees it.
struct scripted_call
{
    std::string leaf;
    std::string path;
    nlohmann::json body;
    bool fresh_connection = false;

    /// Calls of this leaf before this one, cancellations not counted.
    std::size_t index = 0;
};

/// What a leaf does with a call.
struct scripted_reply
{
    microseconds after{5'000};
    http_reply reply;

    /// Whether a cancellation ends the call.
    bool heeds_cancel = true;
};

// A served reply that echoes the call.
inline scripted_reply served(const scripted_call& call,
                             microseconds after = 5ms)
{
    nlohmann::json body = call.body;
    body.erase("deadline_ms");
    body.erase("execute");
    body.erase("query");
    body["items"] = {{{"shard", call.body["shard"]}, {"leaf", call.leaf}}};
    return {after, {http_outcome::answered, 200, body.dump(), "", false}, true};
}

// A reply of this status without items.
inline scripted_reply status(int number, microseconds after = 1ms)
{
    return {after, {http_outcome::answered, number, "{}", "", false}, true};
}

// No reply: the call ends so.
inline scripted_reply lost(http_outcome outcome, microseconds after = 1ms)
{
    return {after, {outcome, 0, "", "lost", false}, true};
}

/// Every leaf serves in 5 ms unless it has a script. A cancelled call ends
/// with 499 at once when the leaf heeds cancellation.
class scripted_leaves
{
public:
    using script = std::function<scripted_reply(const scripted_call&)>;

    scripted_leaves(virtual_runtime& owner, session_record& record)
        : owner(owner), record(record)
    {
    }

    std::map<std::string, script> scripts;

    /// Leaves that refuse connections until a time.
    std::map<std::string, instant> down;
    std::map<std::string, std::size_t> calls;
    std::map<std::string, std::size_t> in_use;
    std::map<std::string, std::size_t> peak;
    bool quiet = false;

    /// Ends the call without a reply; the leaf is down for a second.
    scripted_reply crash(const scripted_call& call, microseconds after = 2ms)
    {
        const instant now = to_instant(virtual_clock::now());
        this->down[call.leaf] = now + after + 1s;
        return lost(http_outcome::dropped, after);
    }

    boost::asio::awaitable<http_reply> send(const leaf_state& leaf,
                                            http_request request)
    {
        scripted_call call;
        call.leaf = leaf.id.value;
        call.path = request.url;
        call.body =
            nlohmann::json::parse(request.body.empty() ? "{}" : request.body);
        call.fresh_connection = request.fresh_connection;
        if (call.path != "/v1/leaf")
        {
            co_return co_await this->control(call);
        }
        call.index = this->calls[call.leaf]++;
        this->peak[call.leaf] =
            std::max(this->peak[call.leaf], ++this->in_use[call.leaf]);
        this->note(call,
                   fmt::format("deadline={}{}", call.body["deadline_ms"].dump(),
                               call.fresh_connection ? " fresh" : ""));
        scripted_reply next = this->next_reply(call);
        co_await this->wait(call, next, request.timeout);
        --this->in_use[call.leaf];
        this->note(call, fmt::format("ends status={}", next.reply.status));
        co_return next.reply;
    }

private:
    using timer_type = virtual_runtime::timer;

    [[nodiscard]] bool is_down(const std::string& leaf) const
    {
        const auto found = this->down.find(leaf);
        return found != this->down.end() &&
               to_instant(virtual_clock::now()) < found->second;
    }

    scripted_reply next_reply(const scripted_call& call)
    {
        if (this->is_down(call.leaf))
        {
            return lost(http_outcome::connect_failed);
        }
        const auto found = this->scripts.find(call.leaf);
        return found == this->scripts.end() ? served(call)
                                            : found->second(call);
    }

    static std::string name(const scripted_call& call)
    {
        return fmt::format("{} {}#{}", call.leaf,
                           call.body.value("request", ""),
                           call.body.value("attempt", 0));
    }

    void note(const scripted_call& call, const std::string& event)
    {
        if (!this->quiet)
        {
            const bool check = call.path == "/healthz";
            this->record.add(
                fmt::format("{} {}", check ? call.leaf : name(call), event));
        }
    }

    // Waits for the reply, its cancellation or the timeout.
    boost::asio::awaitable<void>
    wait(const scripted_call& call, scripted_reply& next, microseconds timeout)
    {
        auto timer = std::make_shared<timer_type>(this->owner.executor());
        timer->expires_after(std::min(next.after, timeout));
        if (next.heeds_cancel)
        {
            this->waiting[name(call)] = timer;
        }
        const auto [failed] = co_await timer->async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        this->waiting.erase(name(call));
        if (failed)
        {
            next = status(499);
        }
        else if (next.after > timeout)
        {
            next = lost(http_outcome::timed_out);
        }
    }

    boost::asio::awaitable<http_reply> control(scripted_call call)
    {
        this->note(call, call.path);
        timer_type timer(this->owner.executor());
        timer.expires_after(500us);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        if (this->is_down(call.leaf))
        {
            co_return lost(http_outcome::connect_failed).reply;
        }
        const auto found = this->waiting.find(name(call));
        if (call.path == "/v1/cancel" && found != this->waiting.end())
        {
            found->second->cancel();
        }
        co_return status(200).reply;
    }

    virtual_runtime& owner;
    session_record& record;
    std::map<std::string, std::shared_ptr<timer_type>> waiting;
};

/// Peers that note every message they are sent.
class recording_peers
{
public:
    explicit recording_peers(session_record& record) : record(record) {}

    bool send(const peer_address&, const wire::Envelope& message)
    {
        if (message.has_shard_results())
        {
            for (const auto& one : message.shard_results().results())
            {
                this->add(message.shard_results().request(), one);
            }
        }
        if (message.has_leaf_execute_result())
        {
            const auto& one = message.leaf_execute_result();
            this->executes.push_back(one);
            this->record.add(fmt::format("execute {} {} leaf={}", one.request(),
                                         name(one.code()), one.leaf()));
        }
        return true;
    }

    [[nodiscard]] static bool responsive(const peer_address&)
    {
        return true;
    }

    bool quiet = false;
    std::vector<wire::ShardResult> results;
    std::vector<wire::LeafExecuteResult> executes;

private:
    static std::string_view name(std::uint32_t code)
    {
        return info(to_result_code(code).value_or(result_code::bad_reply)).name;
    }

    void add(const std::string& request, const wire::ShardResult& one)
    {
        this->results.push_back(one);
        if (!this->quiet)
        {
            this->record.add(fmt::format(
                "result {} shard={} {} leaf={} attempts={} hedges={}", request,
                one.shard(), name(one.code()), one.leaf(), one.attempts(),
                one.hedges()));
        }
    }

    session_record& record;
};

/// A relay with its leaves. Service `desk` has version 3; shard N has the
/// leaves `N-a`, `N-b` and so on, with two slots each.
class relay_session
{
public:
    explicit relay_session(std::uint32_t shards, std::uint32_t replicas = 2,
                           relay_policy policy = {})
        : leaves(owner, record), peers(record),
          subject(owner, leaves, peers, policy)
    {
        auto all = std::make_shared<document>();
        auto version = std::make_shared<index_version>();
        auto targets = std::make_shared<target_list>();
        version->service = service_name("desk");
        version->number = version_number(3);
        for (std::uint32_t i = 0; i < shards; ++i)
        {
            shard part{shard_number(i), 1.0, {}};
            for (std::uint32_t k = 0; k < replicas; ++k)
            {
                const leaf_id id(
                    fmt::format("{}-{}", i, static_cast<char>('a' + k)));
                part.leaves.push_back(id);
                all->leaves[id] = {id, failure_domain("d"), 2, 24,
                                   microseconds(1000)};
                targets->entries[id] = {
                    http_address(fmt::format("127.0.0.1:{}", 1000 + i)), false};
            }
            version->shards.push_back(part);
        }
        service desk;
        desk.name = service_name("desk");
        desk.accepts_execute = true;
        desk.versions = {version};
        all->services[desk.name] = desk;
        this->configuration = all;
        this->state = std::make_shared<system_state>();
        this->state->configuration = all;
        this->state->targets = targets;
        this->subject.apply(this->state);
        this->subject.start();
        this->subject.context.report_leaving = [this](const leaf_id& leaf)
        {
            this->record.add("told leaving " + leaf.value);
        };
        this->subject.context.report_quarantine =
            [this](const quarantine& found)
        {
            this->record.add(fmt::format("told quarantine {} leaves={}",
                                         found.request_fingerprint.value,
                                         found.leaves.size()));
        };
    }

    /// Sends a query on these shards.
    void query(const std::string& name,
               const std::vector<std::uint32_t>& shards,
               microseconds budget = 100ms, std::uint64_t print = 0)
    {
        wire::Envelope message;
        auto& asked = *message.mutable_shard_query();
        asked.set_request(name);
        asked.set_attempt(1);
        asked.set_service("desk");
        asked.set_version(3);
        asked.set_budget_us(static_cast<std::uint64_t>(budget.count()));
        asked.mutable_shards()->Add(shards.begin(), shards.end());
        asked.set_query("{}");
        asked.set_fingerprint(print);
        this->subject.receive(this->entry, std::move(message));
    }

    /// Sends a request to execute on shard 0.
    void execute(const std::string& name, microseconds budget = 100ms,
                 std::uint64_t print = 0)
    {
        wire::Envelope message;
        auto& asked = *message.mutable_leaf_execute();
        asked.set_request(name);
        asked.set_service("desk");
        asked.set_version(3);
        asked.set_budget_us(static_cast<std::uint64_t>(budget.count()));
        asked.set_query("{}");
        asked.set_fingerprint(print);
        this->subject.receive(this->entry, std::move(message));
    }

    /// Runs to this time since the start.
    void run_until(microseconds end)
    {
        this->owner.run_until(end);
    }

    /// Cancels a query.
    void cancel(const std::string& name)
    {
        wire::Envelope message;
        message.mutable_cancel_query()->set_request(name);
        this->subject.receive(this->entry, std::move(message));
    }

    /// The leaf of this name.
    leaf_state& leaf(const std::string& name)
    {
        return *this->subject.context.leaves.all().at(leaf_id(name));
    }

    /// Time since the start.
    static microseconds elapsed()
    {
        return virtual_clock::now().time_since_epoch();
    }

    /// The process stands still, and nothing of it runs meanwhile.
    static void pause(microseconds time)
    {
        virtual_clock::current += time;
    }

    /// Serves queries of shard 0, one every `interval`, to fill the histograms.
    void warm_up(std::size_t queries, microseconds interval = 10ms,
                 std::uint32_t part = 0)
    {
        this->leaves.quiet = this->peers.quiet = true;
        for (std::size_t i = 0; i < queries; ++i)
        {
            this->query(fmt::format("warm-{}", i), {part}, 1s);
            this->run_until(elapsed() + interval);
        }
        this->leaves.quiet = this->peers.quiet = false;
        this->peers.results.clear();
    }

    virtual_runtime owner;
    session_record record;
    scripted_leaves leaves;
    recording_peers peers;
    relay<virtual_runtime, scripted_leaves, recording_peers> subject;
    std::shared_ptr<const document> configuration;
    std::shared_ptr<system_state> state;
    peer_address entry{"127.0.0.1:1"};
};

static_assert(leaf_transport<scripted_leaves>);
static_assert(peer_transport<recording_peers>);

} // namespace basilpath::test
