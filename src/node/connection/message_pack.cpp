#include "node/connection/message_pack.hpp"

#include <cstddef>

namespace basilpath
{

namespace
{

using nlohmann::json;

// Valid messages nest five levels deep.
constexpr std::size_t max_depth = 16;

// SAX handler that builds nothing and aborts the parse when the nesting exceeds
// max_depth.
class depth_limiter : public nlohmann::json_sax<json>
{
public:
    bool null() override
    {
        return true;
    }

    bool boolean(bool) override
    {
        return true;
    }

    bool number_integer(json::number_integer_t) override
    {
        return true;
    }

    bool number_unsigned(json::number_unsigned_t) override
    {
        return true;
    }

    bool number_float(json::number_float_t, const std::string&) override
    {
        return true;
    }

    bool string(std::string&) override
    {
        return true;
    }

    bool binary(json::binary_t&) override
    {
        return true;
    }

    bool start_object(std::size_t) override
    {
        return ++this->depth <= max_depth;
    }

    bool key(std::string&) override
    {
        return true;
    }

    bool end_object() override
    {
        --this->depth;
        return true;
    }

    bool start_array(std::size_t) override
    {
        return ++this->depth <= max_depth;
    }

    bool end_array() override
    {
        --this->depth;
        return true;
    }

    bool parse_error(std::size_t, const std::string&,
                     const nlohmann::detail::exception&) override
    {
        return false;
    }

private:
    std::size_t depth = 0;
};

} // namespace

std::string encode_message(const json& message)
{
    std::string bytes;
    json::to_msgpack(message, bytes);
    return bytes;
}

std::optional<json> decode_message(std::string_view bytes)
{
    depth_limiter check;
    if (!json::sax_parse(bytes, &check, json::input_format_t::msgpack))
    {
        return std::nullopt;
    }
    json message = json::from_msgpack(bytes, true, false);
    if (message.is_discarded())
    {
        return std::nullopt;
    }
    return message;
}

} // namespace basilpath
