#include "request/leaf_execute_session.hpp"

namespace basilpath
{

result_code leaf_execute_code(leaf_verdict verdict)
{
    switch (verdict)
    {
    case leaf_verdict::served:
        return result_code::complete;
    case leaf_verdict::wrong_version:
        return result_code::unknown_version;
    case leaf_verdict::busy:
        return result_code::overloaded;
    case leaf_verdict::draining:
    case leaf_verdict::not_reached:
        return result_code::no_replica;
    case leaf_verdict::expired:
        return result_code::expired_before_send;
    default:
        return result_code::outcome_unknown;
    }
}

} // namespace basilpath
