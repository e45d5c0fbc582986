/// HTTP control interface that experiments use to drive the stand-in.
#pragma once

#include "connection/http_exchange.hpp"
#include "standin/leaf_group.hpp"
#include "standin/platform_service.hpp"

#include <memory>
#include <string>

namespace basilpath::standin
{

/// Serves all paths below /standin/; see docs/operate/standin.md.
class control_service
{
public:
    control_service(leaf_group& leaves, platform_service& platform);

    void serve(const std::shared_ptr<http_exchange>& exchange);

    /// Replaces a value of the platform. A valid document is applied to the
    /// leaves, and the target list is published again if it changes. Returns
    /// why the bytes are not a valid document, or an empty string.
    std::string set_value(const std::string& name, const std::string& bytes);

private:
    http_answer post(const std::string& path, const std::string& body);
    http_answer post_fault(const std::string& body);
    http_answer post_leaving(const std::string& body);
    http_answer post_platform(const std::string& body);
    void publish_targets();

    leaf_group& leaves;
    platform_service& platform;
};

} // namespace basilpath::standin
