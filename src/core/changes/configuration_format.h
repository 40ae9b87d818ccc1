// How the platform keeps the configuration, as far as a change must know it.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "core/catalog/catalog.h"
#include "core/store/store_types.h"

namespace ladderstream::changes {

/// Thread-safe.
class ConfigurationFormat {
 public:
  virtual ~ConfigurationFormat() = default;

  virtual store::RowKey row() const = 0;
  /// Longer values are not taken by the store.
  virtual size_t max_value_bytes() const = 0;
  /// Throws Error(kInvalidConfiguration) naming the place.
  virtual catalog::Configuration Decode(std::string_view value) const = 0;
  /// Gives the row's value. `previous` is the value that it replaces, empty if there is none: what
  /// it holds besides the fields of `configuration` stays. Throws Error(kInvalidConfiguration) when
  /// `previous` cannot be read.
  virtual std::string Encode(const catalog::Configuration& configuration,
                             std::string_view previous) const = 0;
};

using ConfigurationFormatPtr = std::shared_ptr<const ConfigurationFormat>;

}  // namespace ladderstream::changes
