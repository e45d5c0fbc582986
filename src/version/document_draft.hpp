/// What has been read of a document before it is known to be free of faults.
#pragma once

#include "version/document.hpp"
#include "version/document_parser.hpp"
#include "version/index_version.hpp"

#include <map>
#include <vector>

namespace basilpath
{

/// A value with the line of the document that it stands on, from 1.
template <class Value>
struct located
{
    int line = 0;
    Value value;
};

/// A leaf with what the checks find out about it.
struct leaf_draft
{
    int line = 0;
    leaf value;

    /// Service whose shards the leaf holds, a key of `versions`; null for none.
    const service_name* holder = nullptr;
};

/// The sections read so far and the faults found so far.
struct document_draft
{
    /// Line of the `[deployment]` section; 0 when there was none.
    int deployment_line = 0;
    std::string deployment;
    document_number number;

    std::map<service_name, located<service>> services;
    std::map<class_name, located<request_class>> classes;
    std::map<leaf_id, leaf_draft> leaves;

    /// Shards of a version in the order of the document.
    using shard_lines = located<std::vector<located<shard>>>;
    std::map<service_name, std::map<version_number, shard_lines>> versions;

    std::vector<document_fault> faults;
};

} // namespace basilpath
