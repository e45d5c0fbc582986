#include "version/document.hpp"

namespace basilpath
{

namespace
{

// Returns the mapped value at a key, or null.
template <class Map>
const typename Map::mapped_type* find_in(const Map& map,
                                         const typename Map::key_type& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

const service* document::find_service(const service_name& name) const
{
    return find_in(this->services, name);
}

const request_class* document::find_class(const class_name& name) const
{
    return find_in(this->classes, name);
}

const leaf* document::find_leaf(const leaf_id& id) const
{
    return find_in(this->leaves, id);
}

} // namespace basilpath
