/// The configuration of one deployment, parsed and checked.
#pragma once

#include "version/ids.hpp"
#include "version/leaf.hpp"
#include "version/request_class.hpp"
#include "version/service.hpp"

#include <map>
#include <string>

namespace basilpath
{

/// What one INI document says. Immutable once parsed; processes hold it by
/// `std::shared_ptr<const document>`.
struct document
{
    std::string deployment;
    document_number number;
    document_digest digest;
    std::map<service_name, service> services;
    std::map<class_name, request_class> classes;
    std::map<leaf_id, leaf> leaves;

    /// Returns the service, or null when the document does not name it.
    [[nodiscard]] const service* find_service(const service_name& name) const;

    /// Returns the class, or null when the document does not name it.
    [[nodiscard]] const request_class* find_class(const class_name& name) const;

    /// Returns the leaf, or null when the document does not name it.
    [[nodiscard]] const leaf* find_leaf(const leaf_id& id) const;
};

} // namespace basilpath
