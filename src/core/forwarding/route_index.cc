#include "core/forwarding/route_index.h"

#include <absl/strings/ascii.h>

#include <utility>

namespace ladderstream::forwarding {
namespace {

/// The host without its port and the final dot of a fully qualified name, in lower case.
std::string NormalizeHost(std::string_view host) {
  const size_t colon = host.rfind(':');
  const size_t bracket = host.rfind(']');
  const bool has_port =
      colon != std::string_view::npos && (bracket == std::string_view::npos || bracket < colon);
  std::string_view name = has_port ? host.substr(0, colon) : host;
  if (name.ends_with('.')) {
    name.remove_suffix(1);
  }
  return absl::AsciiStrToLower(std::string(name));
}

}  // namespace

RouteIndex::RouteIndex(std::shared_ptr<const catalog::Configuration> configuration)
    : configuration_(std::move(configuration)) {
  for (const catalog::Route& route : configuration_->routes) {
    by_host_[NormalizeHost(route.host)].emplace(route.path_prefix, &route);
  }
}

const catalog::Route* RouteIndex::Find(std::string_view host, std::string_view target) const {
  const auto routes = by_host_.find(NormalizeHost(host));
  if (routes == by_host_.end()) {
    return nullptr;
  }
  std::string_view prefix = target.substr(0, target.find_first_of("?#"));
  // Every path prefix ends with a slash, so only those positions are checked, longest prefix first.
  for (size_t slash = prefix.rfind('/'); slash != std::string_view::npos;
       slash = prefix.rfind('/')) {
    const auto route = routes->second.find(prefix.substr(0, slash + 1));
    if (route != routes->second.end()) {
      return route->second;
    }
    prefix = prefix.substr(0, slash);
  }
  return nullptr;
}

}  // namespace ladderstream::forwarding
