// Lets msgpack carry a std::variant, as the array [index of the alternative, value].
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <utility>
#include <variant>

namespace ladderstream::wire_internal {

template <typename Variant, size_t I = 0>
void UnpackAlternative(Variant& variant, uint32_t index, const msgpack::object& value) {
  if constexpr (I < std::variant_size_v<Variant>) {
    if (index == I) {
      std::variant_alternative_t<I, Variant> alternative{};
      value.convert(alternative);
      variant = std::move(alternative);
      return;
    }
    UnpackAlternative<Variant, I + 1>(variant, index, value);
  } else {
    throw msgpack::type_error();
  }
}

}  // namespace ladderstream::wire_internal

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename... Ts>
  struct pack<std::variant<Ts...>> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& out, const std::variant<Ts...>& variant) const {
      out.pack_array(2);
      out.pack(static_cast<uint32_t>(variant.index()));
      std::visit([&out](const auto& value) { out.pack(value); }, variant);
      return out;
    }
  };

  template <typename... Ts>
  struct convert<std::variant<Ts...>> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      std::variant<Ts...>& variant) const {
      constexpr uint32_t kParts = 2;
      if (in.type != type::ARRAY || in.via.array.size != kParts) {
        throw type_error();
      }
      const auto index = in.via.array.ptr[0].as<uint32_t>();
      ladderstream::wire_internal::UnpackAlternative(variant, index, in.via.array.ptr[1]);
      return in;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack
