// The bodies and queries of the metadata store.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "core/store/store_types.h"

namespace ladderstream::fleet {

nlohmann::json EncodeRow(const store::Row& row);

/// Reads the body of a transaction. Throws Error(kMalformedMessage) when it is not one that the
/// store takes: unknown fields, too many entries, several partitions, bad base64.
store::Transaction DecodeTransaction(const std::string& body);

/// A target split into its path and its decoded query.
struct Target {
  std::string path;
  std::map<std::string, std::string> query;

  /// The value of a field; empty when absent.
  std::string Get(const std::string& name) const;
  /// Throws Error(kMalformedMessage) when it is there and no number.
  uint64_t GetNumber(const std::string& name, uint64_t otherwise) const;
};

Target ParseTarget(const std::string& target);

}  // namespace ladderstream::fleet
