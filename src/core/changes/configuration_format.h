// Interface to the platform's stored form of the configuration.
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

  /// The key of the row that holds the configuration.
  virtual store::RowKey row() const = 0;
  /// The store rejects longer values.
  virtual size_t max_value_bytes() const = 0;
  /// Throws Error(kInvalidConfiguration) that names the invalid field.
  virtual catalog::Configuration Decode(std::string_view value) const = 0;
  /// Returns the row's value. `previous` is the value that it replaces, empty if there is none;
  /// data in it that is not part of `configuration` is preserved. Throws
  /// Error(kInvalidConfiguration) if `previous` cannot be decoded.
  virtual std::string Encode(const catalog::Configuration& configuration,
                             std::string_view previous) const = 0;
};

using ConfigurationFormatPtr = std::shared_ptr<const ConfigurationFormat>;

}  // namespace ladderstream::changes
