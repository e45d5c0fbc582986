/// Reading and checking a configuration document.
#pragma once

#include "version/document.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

/// One fault of a document, with the line it was found on (from 1; 0 when the
/// fault belongs to no line).
struct document_fault
{
    int line = 0;
    std::string message;
};

/// A document, or all the faults that keep the bytes from being one.
struct parsed_document
{
    std::shared_ptr<const document> value;
    std::vector<document_fault> faults;
};

/// Parses and checks the bytes of an INI document. A pure function of its
/// argument; `value` is null exactly when `faults` is not empty.
[[nodiscard]] parsed_document parse_document(std::string_view bytes);

} // namespace basilpath
