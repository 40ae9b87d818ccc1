// Finds the route of a request by host and path.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/catalog/catalog.h"

namespace ladderstream::forwarding {

/// An index of the routes of one configuration. The returned routes live as long as the
/// configuration.
class RouteIndex {
 public:
  /// Constructs an empty index, which finds nothing.
  RouteIndex() = default;
  explicit RouteIndex(std::shared_ptr<const catalog::Configuration> configuration);

  /// Returns the route for `host` (in any case, with or without port) with the longest prefix of
  /// the path of `target`; null when there is none.
  const catalog::Route* Find(std::string_view host, std::string_view target) const;

  /// Returns null when no configuration is known.
  const std::shared_ptr<const catalog::Configuration>& configuration() const {
    return configuration_;
  }

 private:
  using RoutesByPrefix = std::map<std::string, const catalog::Route*, std::less<>>;

  std::shared_ptr<const catalog::Configuration> configuration_;
  absl::flat_hash_map<std::string, RoutesByPrefix> by_host_;
};

}  // namespace ladderstream::forwarding
