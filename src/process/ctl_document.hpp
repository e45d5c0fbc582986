/// The commands of basilpathctl that need only documents.
#pragma once

#include "process/ctl_result.hpp"

#include <string>
#include <string_view>

namespace basilpath
{

/// A document as it was read from a file.
struct document_file
{
    std::string name;
    std::string bytes;
};

/// `check`: lists all faults of a document, or says what it holds.
[[nodiscard]] ctl_result check_document(const document_file& file,
                                        ctl_format format);

/// `diff`: lists what changes from one document to another, by meaning.
[[nodiscard]] ctl_result diff_documents(const document_file& from,
                                        const document_file& to,
                                        ctl_format format);

/// `show FILE`: lists services, classes and versions of a document.
[[nodiscard]] ctl_result show_document(const document_file& file,
                                       ctl_format format);

} // namespace basilpath
