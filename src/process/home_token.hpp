/// Home tokens: which process incarnation runs a non-idempotent request.
#pragma once

#include "version/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace basilpath
{

/// What a token says. Anyone can read where the home is; only the home can
/// tell whether it issued the token.
struct home_token
{
    host_id home;
    incarnation issuer;

    /// Counts the tokens of one incarnation.
    std::uint64_t issue = 0;

    /// End of the time in which new keys are accepted, on the home's own
    /// monotonic clock.
    microseconds good_until{0};

    /// Keyed hash of all of the above.
    std::string signature;
};

/// Reads a token's text; nothing when it has not the form of a token.
[[nodiscard]] std::optional<home_token> parse_token(std::string_view text);

/// Issues and checks the tokens of one process incarnation. The key is random
/// and dies with the process.
class token_issuer
{
public:
    /// `secret` are random bytes.
    token_issuer(host_id own, incarnation issuer, std::string secret);

    /// Issues a token that is good until `good_until`; the text has only
    /// printable characters without quotes.
    [[nodiscard]] std::string issue(microseconds good_until);

    /// Tells whether this incarnation issued the token.
    [[nodiscard]] bool issued(const home_token& token) const;

private:
    [[nodiscard]] std::string sign(const home_token& token) const;

    host_id own;
    incarnation issuer;
    std::string secret;
    std::uint64_t count = 0;
};

} // namespace basilpath
