/// Whether a document may take the place of the one in force.
#pragma once

#include "version/document_parser.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

/// What is to be done with a document.
enum class acceptance_verdict : std::uint8_t
{
    accepted, ///< takes force
    same,     ///< the bytes in force
    lower,    ///< a lower number than the one in force; ignored
    conflict, ///< the number in force with other bytes; refused
    faulty    ///< no document; refused
};

/// A verdict with what it rests on.
struct acceptance
{
    acceptance_verdict verdict = acceptance_verdict::faulty;

    /// The document that is in force after the verdict; null when none is.
    std::shared_ptr<const document> in_force;

    /// Faults of the bytes when the verdict is `faulty`.
    std::vector<document_fault> faults;

    /// One sentence for logs; empty when accepted.
    std::string reason;
};

/// Judges bytes against the document in force, which may be null. A pure
/// function of its arguments, so that every process judges alike: whatever the
/// order of arrival, the number in force ends as the highest of all documents
/// without faults, and it never falls.
[[nodiscard]] acceptance
judge_document(std::string_view bytes,
               const std::shared_ptr<const document>& in_force);

/// The verdict's name for logs and reports.
[[nodiscard]] std::string_view name_of(acceptance_verdict verdict);

} // namespace basilpath
