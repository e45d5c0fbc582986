/// Identifiers and units shared by every module.
#pragma once

#include "version/strong.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace basilpath
{

using service_name = strong<std::string, struct service_name_tag>;
using class_name = strong<std::string, struct class_name_tag>;
using leaf_id = strong<std::string, struct leaf_id_tag>;
using host_id = strong<std::string, struct host_id_tag>;
using failure_domain = strong<std::string, struct failure_domain_tag>;
using region_name = strong<std::string, struct region_name_tag>;

/// Zero-based number of a shard within an index version.
using shard_number = strong<std::uint32_t, struct shard_number_tag>;

/// Index version of a service; larger is newer.
using version_number = strong<std::uint64_t, struct version_number_tag>;

/// Version of a configuration document; larger is newer, zero means none.
using document_number = strong<std::uint64_t, struct document_number_tag>;

/// Content digest (64-bit XXH3) of a document's bytes.
using document_digest = strong<std::uint64_t, struct document_digest_tag>;

/// Random number drawn at each start of a process.
using incarnation = strong<std::uint64_t, struct incarnation_tag>;

/// Identifies a caller's request among all requests in flight.
using request_id = strong<std::string, struct request_id_tag>;

/// One-based number of an attempt at a leaf within a request.
using attempt_number = strong<std::uint32_t, struct attempt_number_tag>;

/// Hash of a request's service and body; equal for retries by the caller.
using fingerprint = strong<std::uint64_t, struct fingerprint_tag>;

/// `ip:port` of an HTTP server.
using http_address = strong<std::string, struct http_address_tag>;

/// `ip:port` at which a process listens for messages from other processes.
using peer_address = strong<std::string, struct peer_address_tag>;

/// Value of an answered request of a class, relative to other classes.
using worth = strong<double, struct worth_tag>;

/// Requests per second.
using request_rate = strong<double, struct request_rate_tag>;

/// Share of an index, 0 to 1.
using coverage = strong<double, struct coverage_tag>;

using std::chrono::microseconds;
using std::chrono::milliseconds;

} // namespace basilpath
