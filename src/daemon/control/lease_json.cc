#include "daemon/control/lease_json.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <exception>
#include <nlohmann/json.hpp>

namespace ladderstream::control {
namespace {

using Json = nlohmann::json;

/// Keys are arbitrary bytes to us; JSON wants UTF-8. What isn't is replaced, so that a response is
/// always written (a key that callers send in a URL and that is no UTF-8 is refused earlier).
std::string Write(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

uint64_t ParseNumber(const Json& json) {
  uint64_t number = 0;
  const auto& text = json.get_ref<const std::string&>();
  if (!absl::SimpleAtoi(text, &number)) {
    throw Error(ResultCode::kMalformedMessage, absl::StrCat("not a number: ", text));
  }
  return number;
}

Json GrantsJson(const GrantSet& grants) {
  Json list = Json::array();
  for (const Grant& grant : grants.grants) {
    list.push_back({{"service", grant.shard.service.value()},
                    {"range", grant.shard.range.value()},
                    {"key", grant.shard.key},
                    {"token", FormatToken(grant.token)},
                    {"excluded_keys", grant.excluded_keys}});
  }
  return list;
}

}  // namespace

LeaseRequest ParseLeaseRequest(const BackendId& backend, const std::string& body) {
  try {
    const Json json = Json::parse(body);
    LeaseRequest request;
    request.backend = backend;
    request.incarnation = BackendIncarnation(ParseNumber(json.at("incarnation")));
    request.applied_version = ParseToken(json.at("applied_version").get<std::string>());
    request.leaving = json.value("leaving", false);
    return request;
  } catch (const Json::exception& error) {
    throw Error(ResultCode::kMalformedMessage, absl::StrCat("lease request: ", error.what()));
  }
}

std::string FormatLeaseResponse(const LeaseResponse& response) {
  Json json = {{"result", static_cast<uint32_t>(response.result)},
               {"lease_us", absl::ToInt64Microseconds(response.lease)},
               {"grants_included", response.grants_included},
               {"version", FormatToken(response.grants.version)},
               {"grants", GrantsJson(response.grants)}};
  json["home"] = response.home.port == 0 ? "" : FormatEndpoint(response.home);
  return Write(json);
}

std::string FormatGrantSet(const GrantSet& grants) {
  return Write({{"version", FormatToken(grants.version)}, {"grants", GrantsJson(grants)}});
}

}  // namespace ladderstream::control
