// Generic msgpack packing and unpacking of structs that have visitFields() (fields.h). Include this only in files that
// encode or decode, because it includes msgpack. Enums need an isValid() function.
#pragma once

#include "core/common/id_type.h"
#include "core/common/time_type.h"

#include <msgpack.hpp>

#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

namespace mimosapier
{

using Packer = msgpack::packer<msgpack::sbuffer>;

namespace detail
{

constexpr std::size_t MaxElements = 1'000'000; // maximum length of an array in a message or stored value

template <typename T, typename = void>
struct HasFields : std::false_type
{
};

struct NoVisit
{
    template <typename... F>
    void operator()(F &...) const
    {
    }
};

template <typename T>
struct HasFields<T, std::void_t<decltype(visitFields(std::declval<T &>(), NoVisit{}))>> : std::true_type
{
};

// Number of fields at the end of T that the sender may leave out, see fields.h.
template <typename T>
constexpr std::size_t optionalFields()
{
    if constexpr (requires { optionalFieldCount(static_cast<const T *>(nullptr)); }) {
        return optionalFieldCount(static_cast<const T *>(nullptr));
    } else {
        return 0;
    }
}

} // namespace detail

template <typename T>
void packValue(Packer &packer, const T &value);

template <typename Tag>
void packValue(Packer &packer, const NamedId<Tag> &id)
{
    packer.pack(id.value_);
}

template <typename Tag>
void packValue(Packer &packer, const NumberId<Tag> &id)
{
    packer.pack(id.value_);
}

template <typename T>
void packValue(Packer &packer, const std::vector<T> &values)
{
    packer.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const T &value : values) {
        packValue(packer, value);
    }
}

template <typename T>
void packValue(Packer &packer, const T &value)
{
    if constexpr (std::is_same_v<T, Milliseconds>) {
        packer.pack(static_cast<std::int64_t>(value.count()));
    } else if constexpr (std::is_enum_v<T>) {
        packer.pack(static_cast<std::uint64_t>(value));
    } else if constexpr (detail::HasFields<const T>::value) {
        visitFields(value, [&packer](const auto &...fields) {
            packer.pack_array(sizeof...(fields));
            (packValue(packer, fields), ...);
        });
    } else {
        packer.pack(value);
    }
}

// Encodes a value.
template <typename T>
std::string packToString(const T &value)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packValue(packer, value);
    return {buffer.data(), buffer.size()};
}

// The unpackValue() functions return false when the object has another type or an invalid value. `value` may then be
// partly filled.
template <typename T>
bool unpackValue(const msgpack::object &object, T &value);

template <typename Tag>
bool unpackValue(const msgpack::object &object, NamedId<Tag> &id)
{
    return unpackValue(object, id.value_);
}

template <typename Tag>
bool unpackValue(const msgpack::object &object, NumberId<Tag> &id)
{
    return unpackValue(object, id.value_);
}

template <typename T>
bool unpackValue(const msgpack::object &object, std::vector<T> &values)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size > detail::MaxElements) {
        return false;
    }
    values.clear();
    for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
        T value{};
        if (!unpackValue(object.via.array.ptr[i], value)) {
            return false;
        }
        values.push_back(std::move(value));
    }
    return true;
}

namespace detail
{

template <typename T>
bool unpackInteger(const msgpack::object &object, T &value)
{
    if (object.type == msgpack::type::POSITIVE_INTEGER) {
        value = static_cast<T>(object.via.u64);
        return std::in_range<T>(object.via.u64);
    }
    if (object.type == msgpack::type::NEGATIVE_INTEGER) {
        value = static_cast<T>(object.via.i64);
        return std::in_range<T>(object.via.i64);
    }
    return false;
}

} // namespace detail

template <typename T>
bool unpackValue(const msgpack::object &object, T &value)
{
    if constexpr (std::is_same_v<T, Milliseconds>) {
        std::int64_t count = 0;
        const bool valid = detail::unpackInteger(object, count);
        value = Milliseconds(count);
        return valid;
    } else if constexpr (std::is_same_v<T, double>) {
        // msgpack packs whole numbers as integers, so a double can arrive as an integer.
        if (object.type == msgpack::type::POSITIVE_INTEGER) {
            value = static_cast<double>(object.via.u64);
        } else if (object.type == msgpack::type::NEGATIVE_INTEGER) {
            value = static_cast<double>(object.via.i64);
        } else if (object.type == msgpack::type::FLOAT64 || object.type == msgpack::type::FLOAT32) {
            value = object.via.f64;
        } else {
            return false;
        }
        return true;
    } else if constexpr (std::is_same_v<T, bool>) {
        value = object.type == msgpack::type::BOOLEAN && object.via.boolean;
        return object.type == msgpack::type::BOOLEAN;
    } else if constexpr (std::is_same_v<T, std::string>) {
        if (object.type != msgpack::type::STR && object.type != msgpack::type::BIN) {
            return false;
        }
        value.assign(object.via.str.ptr, object.via.str.size);
        return true;
    } else if constexpr (std::is_enum_v<T>) {
        std::underlying_type_t<T> number = 0;
        const bool valid = detail::unpackInteger(object, number);
        value = static_cast<T>(number);
        return valid && isValid(value);
    } else if constexpr (detail::HasFields<T>::value) {
        if (object.type != msgpack::type::ARRAY) {
            return false;
        }
        bool valid = true;
        visitFields(value, [&object, &valid](auto &...fields) {
            const std::size_t present = object.via.array.size;
            valid = present + detail::optionalFields<T>() >= sizeof...(fields);
            std::uint32_t i = 0;
            ((valid = valid && (i >= present || unpackValue(object.via.array.ptr[i], fields)), ++i), ...);
        });
        return valid;
    } else {
        return detail::unpackInteger(object, value);
    }
}

// Decodes a value. Returns false when the bytes are malformed or trailing bytes remain. Does not throw on malformed
// input: the limits bound the number of elements, their sizes and the depth.
template <typename T>
bool unpackFromString(std::string_view bytes, T &value)
{
    try {
        const msgpack::unpack_limit limit(detail::MaxElements, detail::MaxElements, 1U << 24U, 1U << 24U, 0, 32);
        std::size_t offset = 0;
        const msgpack::object_handle handle
            = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        return offset == bytes.size() && unpackValue(handle.get(), value);
    } catch (const msgpack::unpack_error &) {
        return false;
    } catch (const std::bad_alloc &) {
        return false;
    }
}

} // namespace mimosapier
