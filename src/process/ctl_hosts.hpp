/// The commands of basilpathctl that ask hosts.
#pragma once

#include "process/ctl_result.hpp"
#include "process/request_timeline.hpp"

#include <string>
#include <vector>

namespace basilpath
{

struct host_reply;

/// `burn`, from the replies to `GET /v1/burn`.
[[nodiscard]] ctl_result report_burn(const std::vector<host_reply>& replies,
                                     ctl_format format);

/// `status`, from the replies to `GET /v1/status`: what each host has in
/// force and how it is, and where hosts differ in what is in force.
[[nodiscard]] ctl_result report_status(const std::vector<host_reply>& replies,
                                       ctl_format format);

/// `explain`, from the logs of hosts: the decisions on the request, what the
/// hosts thought of the replicas that it asked, and why it ended as it did.
[[nodiscard]] ctl_result report_timeline(const std::string& request,
                                         const request_timeline& timeline,
                                         ctl_format format);

/// `explain`, from the replies to `GET /v1/explain/REQUEST`: the events of the
/// request on every host that knows it.
[[nodiscard]] ctl_result report_explain(const std::string& request,
                                        const std::vector<host_reply>& replies,
                                        ctl_format format);

/// `drain`, from the replies of all hosts to `GET /v1/status`: how far the
/// host with this address has left.
[[nodiscard]] ctl_result report_drain(const std::string& address,
                                      const std::vector<host_reply>& replies,
                                      ctl_format format);

/// The exit code for replies of which some may be lost: `otherwise` when none
/// is.
[[nodiscard]] ctl_exit exit_for(const std::vector<host_reply>& replies,
                                ctl_exit otherwise);

} // namespace basilpath
