#include "process/home_token.hpp"

#include <boost/algorithm/hex.hpp>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <iterator>
#include <utility>
#include <vector>

namespace basilpath
{

namespace
{

constexpr std::size_t token_fields = 6;
constexpr std::size_t token_limit_bytes = 256;
constexpr std::string_view token_format = "h1";

// Splits a token at its dots.
std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (true)
    {
        const auto dot = text.find('.');
        parts.push_back(text.substr(0, dot));
        if (dot == std::string_view::npos)
        {
            return parts;
        }
        text.remove_prefix(dot + 1);
    }
}

// Converts the whole of a text to a number.
template <class Number>
bool read_number(std::string_view text, int base, Number* number)
{
    const char* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, *number, base);
    return result.ec == std::errc{} && result.ptr == end;
}

// Writes the part of a token that is signed.
std::string signed_part(const home_token& token)
{
    return fmt::format("{}.{}.{:x}.{}.{}", token_format, token.home.value,
                       token.issuer.value, token.issue,
                       token.good_until.count());
}

} // namespace

std::optional<home_token> parse_token(std::string_view text)
{
    const auto parts = split(text.substr(0, token_limit_bytes + 1));
    if (text.size() > token_limit_bytes || parts.size() != token_fields ||
        parts[0] != token_format || parts[1].empty())
    {
        return std::nullopt;
    }
    home_token token;
    token.home = host_id(std::string(parts[1]));
    token.signature = std::string(parts[5]);
    std::int64_t good_until = 0;
    if (!read_number(parts[2], 16, &token.issuer.value) ||
        !read_number(parts[3], 10, &token.issue) ||
        !read_number(parts[4], 10, &good_until))
    {
        return std::nullopt;
    }
    token.good_until = microseconds(good_until);
    return token;
}

token_issuer::token_issuer(host_id own, incarnation issuer, std::string secret)
    : own(std::move(own)), issuer(issuer), secret(std::move(secret))
{
}

std::string token_issuer::issue(microseconds good_until)
{
    home_token token;
    token.home = this->own;
    token.issuer = this->issuer;
    token.issue = ++this->count;
    token.good_until = good_until;
    return signed_part(token) + "." + this->sign(token);
}

bool token_issuer::issued(const home_token& token) const
{
    const std::string wanted = this->sign(token);
    return token.home == this->own && token.issuer == this->issuer &&
           wanted.size() == token.signature.size() &&
           CRYPTO_memcmp(wanted.data(), token.signature.data(),
                         wanted.size()) == 0;
}

// Computes the keyed hash of a token as hexadecimal text.
std::string token_issuer::sign(const home_token& token) const
{
    const std::string text = signed_part(token);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(), this->secret.data(),
         static_cast<int>(this->secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data(), &length);
    std::string hex;
    boost::algorithm::hex_lower(digest.begin(), digest.begin() + length,
                                std::back_inserter(hex));
    return hex;
}

} // namespace basilpath
