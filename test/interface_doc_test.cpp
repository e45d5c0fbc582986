#include "entry_fixture.hpp"

#include <fstream>
#include <sstream>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

/// One request of docs/interface.md with the answer that the page shows.
struct doc_example
{
    std::string path;
    std::set<std::uint32_t> missing;
    std::string body;
    std::string answer;
};

std::string read_file(const std::string& name)
{
    std::ifstream file(fmt::format("{}/{}", BASILPATH_SOURCE_DIR, name));
    return {std::istreambuf_iterator<char>(file), {}};
}

// Reads the heading of a request: its path and the shards that stay silent.
doc_example read_heading(const std::string& heading)
{
    doc_example example;
    std::istringstream words(heading);
    std::string word;
    words >> word >> example.path >> word;
    const auto equals = word.find("missing=");
    std::istringstream numbers(equals == std::string::npos ? ""
                                                           : word.substr(8));
    for (std::string number; std::getline(numbers, number, ',');)
    {
        example.missing.insert(static_cast<std::uint32_t>(std::stoul(number)));
    }
    return example;
}

// Collects the examples of the page.
std::vector<doc_example> read_examples()
{
    std::vector<doc_example> examples;
    std::istringstream page(read_file("docs/interface.md"));
    std::string* block = nullptr;
    for (std::string line; std::getline(page, line);)
    {
        if (line.starts_with("```request"))
        {
            examples.push_back(read_heading(line));
            block = &examples.back().body;
        }
        else if (line.starts_with("```answer"))
        {
            block = &examples.back().answer;
        }
        else if (line.starts_with("```"))
        {
            block = nullptr;
        }
        else if (block != nullptr)
        {
            *block += line;
        }
    }
    return examples;
}

// Lets the relays answer every shard but the missing ones; shard 0 has an item.
void answer_but(entry_fixture& entry, const std::set<std::uint32_t>& missing)
{
    entry.peers.script =
        [&entry, missing](const peer_address& to, const wire::Envelope& message)
    {
        if (message.has_leaf_execute())
        {
            const std::string id = message.leaf_execute().request();
            entry.peers.after(
                2ms, [&entry, to, id]
                { entry.deliver(to.value, id, result_code::complete); });
            return;
        }
        const wire::ShardQuery& asked = message.shard_query();
        wire::ShardResults results;
        results.set_request(asked.request());
        results.set_attempt(asked.attempt());
        for (const std::uint32_t part : asked.shards())
        {
            if (!missing.contains(part))
            {
                wire::ShardResult& one = *results.add_results();
                one = entry_fixture::result_of(asked, part);
                one.set_items(part == 0 ? R"([{"shard":0}])" : "[]");
            }
        }
        entry.peers.after(2ms, [&entry, to, results]
                          { entry.deliver(to.value, results); });
    };
}

// Runs one example and returns the answer as text.
std::string run_example(const doc_example& example)
{
    entry_fixture entry;
    entry.state = entry_fixture::make_state(read_file("deploy/ratnapura.ini"));
    answer_but(entry, example.missing);
    std::string body = example.body;
    const auto token = body.find("TOKEN");
    if (token != std::string::npos)
    {
        body.replace(token, 5, entry.own_home->issue_token());
    }
    const auto kind = example.path == "/v1/execute" ? request_kind::execute
                                                    : request_kind::query;
    const auto parsed =
        parse_caller_request(body, kind, *entry.state->configuration);
    if (!parsed.value)
    {
        query_answer refused;
        refused.code = parsed.error.code;
        refused.reason = parsed.error.reason;
        return to_json_text(refused);
    }
    entry.start(*parsed.value);
    entry.run.run_until(2s);
    const auto at = entry.peers.record.find("answer ");
    const auto end = entry.peers.record.find('\n', at);
    return at == std::string::npos
               ? "no answer"
               : entry.peers.record.substr(at + 7, end - at - 7);
}

TEST_CASE("the examples of docs/interface.md answer as the page shows")
{
    const auto examples = read_examples();
    CHECK(examples.size() == 5);
    for (const doc_example& example : examples)
    {
        INFO(example.body);
        CHECK(run_example(example) == example.answer);
    }
}

} // namespace
