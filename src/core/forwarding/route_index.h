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

/// A snapshot of one configuration's routes. Routes that it returns live as long as the
/// configuration.
class RouteIndex {
 public:
  /// Empty: finds nothing.
  RouteIndex() = default;
  explicit RouteIndex(std::shared_ptr<const catalog::Configuration> configuration);

  /// The route for `host` (any case, with or without port) whose prefix of the path of `target` is
  /// longest; null when there is none.
  const catalog::Route* Find(std::string_view host, std::string_view target) const;

  /// Null when no configuration is known.
  const std::shared_ptr<const catalog::Configuration>& configuration() const {
    return configuration_;
  }

 private:
  using RoutesByPrefix = std::map<std::string, const catalog::Route*, std::less<>>;

  std::shared_ptr<const catalog::Configuration> configuration_;
  absl::flat_hash_map<std::string, RoutesByPrefix> by_host_;
};

}  // namespace ladderstream::forwarding
