/// The stand-in's control interface: faults, values and records.
#pragma once

#include "connection/http_client.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace basilpath::load
{

struct control_action;

/// Talks to the stand-in at one address; each call blocks until it is done.
class control_channel
{
public:
    explicit control_channel(std::string address);

    /// Posts each action at its time after `start`, and logs it.
    void run_actions(const std::vector<control_action>& actions,
                     std::chrono::steady_clock::time_point start);

    /// Sends one request to the stand-in.
    http_reply send(const std::string& method, const std::string& path,
                    std::string body = {});

private:
    std::string address;
    boost::asio::io_context context{1};
    http_client client;
};

} // namespace basilpath::load
