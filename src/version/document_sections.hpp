/// Reading the sections of a document, one by one.
#pragma once

namespace basilpath
{

struct document_draft;
struct ini_section;

/// Reads one section into the draft; whatever is wrong with it is added to the
/// faults of the draft.
void read_section(const ini_section& section, document_draft& draft);

} // namespace basilpath
