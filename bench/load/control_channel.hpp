/// Client of the stand-in's control interface: faults, values and records.
#pragma once

#include "connection/http_client.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace basilpath::load
{

struct control_action;

/// Sends requests to one address; each call blocks until it has completed.
class control_channel
{
public:
    explicit control_channel(std::string address);

    /// Posts each action at its time after `start` and logs the status.
    void run_actions(const std::vector<control_action>& actions,
                     std::chrono::steady_clock::time_point start);

    /// Sends one request and returns the reply.
    http_reply send(const std::string& method, const std::string& path,
                    std::string body = {});

private:
    std::string address;
    boost::asio::io_context context{1};
    http_client client;
};

} // namespace basilpath::load
