// The value of the configuration's row, in any of the forms in which an operator may write it.
#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "core/catalog/catalog.h"

namespace ladderstream::fleet {

/// How a configuration is written. All forms say the same.
struct ConfigurationEncoding {
  /// Whole numbers carry a fraction: 2.0.
  bool fractions = false;
  /// Optional fields without a value are written as null.
  bool nulls = false;
  /// Optional fields that have their default are left out.
  bool omits_defaults = false;
  /// Fields that no page names, in every object.
  bool unknown_fields = false;
  /// A route to one service is written as a split with one part.
  bool splits_of_one = false;
  /// Line breaks and blanks.
  bool indented = false;
  /// Fields in falling instead of rising order.
  bool reversed = false;
  /// Slashes and letters as escapes.
  bool escaped = false;
};

ConfigurationEncoding DrawEncoding(std::mt19937_64* random);

std::string EncodeConfiguration(const catalog::Configuration& configuration, uint64_t base_version,
                                const ConfigurationEncoding& encoding = {});

/// Ways in which a row is no configuration.
enum class ConfigurationDamage : uint8_t {
  kCutShort,
  kNegativeTimeout,
  kNoWeight,
  kBarePrefix,
  kTextForNumber,
  kNoVersion,
  kCount,
};

/// `configuration` damaged so that nobody may take it.
std::string EncodeDamaged(const catalog::Configuration& configuration, ConfigurationDamage damage);

}  // namespace ladderstream::fleet
