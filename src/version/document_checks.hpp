/// Checks of a document that look at several sections together.
#pragma once

namespace basilpath
{

struct document_draft;

/// Adds a fault for each name that a section uses and no section defines, for
/// shards that are not numbered 0 to n-1, for services that cannot be queried
/// and for leaves whose connections cannot be divided among their owners.
void check_draft(document_draft& draft);

} // namespace basilpath
