#include "request/leaf_reply.hpp"

#include <nlohmann/json.hpp>

#include <bitset>
#include <cstddef>
#include <iterator>

namespace basilpath
{

namespace
{

/// Walks over a text and keeps a note of how far it has come.
class noted_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    noted_iterator(const char* at, const char** note) : at(at), note(note) {}

    reference operator*() const
    {
        return *this->at;
    }

    noted_iterator& operator++()
    {
        *this->note = ++this->at;
        return *this;
    }

    bool operator==(const noted_iterator& other) const
    {
        return this->at == other.at;
    }

    bool operator!=(const noted_iterator& other) const
    {
        return this->at != other.at;
    }

private:
    const char* at;
    const char** note;
};

/// Takes the events of nlohmann's parser; the function names are the parser's.
/// Every function returns false to end the parse of a malformed reply.
class reply_reader
{
public:
    explicit reply_reader(const char* const* read_to) : read_to(read_to) {}

    bool null()
    {
        return this->other_value();
    }

    bool boolean(bool)
    {
        return this->other_value();
    }

    bool number_integer(std::int64_t)
    {
        return this->other_value();
    }

    bool number_float(double, const std::string&)
    {
        return this->other_value();
    }

    bool binary(nlohmann::json::binary_t&)
    {
        return false;
    }

    bool number_unsigned(std::uint64_t value)
    {
        if (this->depth != 1)
        {
            return this->other_value();
        }
        std::uint64_t* const target = this->number_target();
        if (target != nullptr)
        {
            *target = value;
            return true;
        }
        return this->other_value();
    }

    bool string(std::string& value)
    {
        if (this->depth == 1 && this->name == "request")
        {
            this->found[0] = true;
            this->reply.request = std::move(value);
            return true;
        }
        if (this->depth == 1 && this->name == "service")
        {
            this->found[1] = true;
            this->reply.service = std::move(value);
            return true;
        }
        return this->other_value();
    }

    bool start_object(std::size_t)
    {
        return ++this->depth == 1 || this->in_items || !this->is_known();
    }

    bool end_object()
    {
        --this->depth;
        return true;
    }

    bool start_array(std::size_t)
    {
        if (this->depth == 1 && this->name == "items")
        {
            this->in_items = true;
            this->items_begin = *this->read_to - 1;
        }
        else if (!this->other_value())
        {
            return false;
        }
        return ++this->depth > 1;
    }

    bool end_array()
    {
        if (--this->depth == 1 && this->in_items)
        {
            this->in_items = false;
            this->found[5] = true;
            this->reply.items.assign(this->items_begin, *this->read_to);
        }
        return true;
    }

    bool key(std::string& value)
    {
        if (this->depth == 1)
        {
            this->name = value;
        }
        return true;
    }

    static bool parse_error(std::size_t, const std::string&,
                            const nlohmann::detail::exception&)
    {
        return false;
    }

    /// The reply, once the parse has ended well.
    std::optional<leaf_reply> take()
    {
        return this->found.all() ? std::optional(std::move(this->reply))
                                 : std::nullopt;
    }

private:
    // Tells whether the key at the top is one that the reply must have.
    [[nodiscard]] bool is_known() const
    {
        return this->depth <= 2 &&
               (this->name == "request" || this->name == "attempt" ||
                this->name == "service" || this->name == "version" ||
                this->name == "shard" || this->name == "items");
    }

    // Tells whether a value may stand here that is none of those wanted: the
    // wanted keys and the array of items take nothing else.
    [[nodiscard]] bool other_value() const
    {
        return this->depth > 2 || (this->depth == 2 && !this->in_items) ||
               (this->depth == 1 && !this->is_known());
    }

    std::uint64_t* number_target()
    {
        if (this->name == "attempt")
        {
            this->found[2] = true;
            return &this->reply.attempt;
        }
        if (this->name == "version")
        {
            this->found[3] = true;
            return &this->reply.version;
        }
        if (this->name == "shard")
        {
            this->found[4] = true;
            return &this->reply.shard;
        }
        return nullptr;
    }

    const char* const* read_to;
    const char* items_begin = nullptr;
    leaf_reply reply;
    std::string name;
    std::size_t depth = 0;
    std::bitset<6> found;
    bool in_items = false;
};

} // namespace

std::optional<leaf_reply> read_leaf_reply(const std::string& body)
{
    const char* read_to = body.data();
    const noted_iterator begin(body.data(), &read_to);
    const noted_iterator end(body.data() + body.size(), &read_to);
    reply_reader reader(&read_to);
    if (!nlohmann::json::sax_parse(begin, end, &reader))
    {
        return std::nullopt;
    }
    return reader.take();
}

} // namespace basilpath
