#include "load/control_channel.hpp"

#include "load/load_plan.hpp"
#include "process/log.hpp"

#include <boost/asio/co_spawn.hpp>

#include <thread>
#include <utility>

namespace basilpath::load
{

namespace
{

constexpr std::chrono::seconds control_timeout{5};

} // namespace

control_channel::control_channel(std::string address)
    : address(std::move(address)), client(this->context)
{
}

void control_channel::run_actions(const std::vector<control_action>& actions,
                                  std::chrono::steady_clock::time_point start)
{
    for (const control_action& action : actions)
    {
        std::this_thread::sleep_until(start + action.at);
        const http_reply reply = this->send("POST", action.path, action.body);
        log_event(log_level::info, "action",
                  {{"at_ms", action.at.count()},
                   {"path", action.path},
                   {"body", action.body},
                   {"status", reply.status}});
    }
}

http_reply control_channel::send(const std::string& method,
                                 const std::string& path, std::string body)
{
    http_request request;
    request.method = method;
    request.url = "http://" + this->address + path;
    request.body = std::move(body);
    request.timeout = control_timeout;
    http_reply reply;
    boost::asio::co_spawn(this->context, this->client.send(std::move(request)),
                          [&reply](const std::exception_ptr&, http_reply got)
                          { reply = std::move(got); });
    this->context.run();
    this->context.restart();
    return reply;
}

} // namespace basilpath::load
