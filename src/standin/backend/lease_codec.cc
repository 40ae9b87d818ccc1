#include "standin/backend/lease_codec.h"

namespace ladderstream::standin {
namespace {

Grant ReadGrant(const nlohmann::json& body) {
  Grant grant;
  grant.shard.service = ServiceName(body.at("service").get<std::string>());
  grant.shard.range = RangeIndex(body.at("range").get<uint32_t>());
  grant.shard.key = body.value("key", "");
  grant.token = ParseToken(body.at("token").get<std::string>());
  if (body.contains("excluded_keys")) {
    grant.excluded_keys = body.at("excluded_keys").get<std::vector<std::string>>();
  }
  return grant;
}

}  // namespace

std::string WriteLeaseRequest(const LeaseRequest& request) {
  return nlohmann::json({{"incarnation", std::to_string(request.incarnation.value())},
                         {"applied_version", FormatToken(request.applied_version)},
                         {"leaving", request.leaving}})
      .dump();
}

GrantSet ReadGrantSet(const nlohmann::json& body) {
  GrantSet set;
  set.version = ParseToken(body.at("version").get<std::string>());
  for (const nlohmann::json& grant : body.at("grants")) {
    set.grants.push_back(ReadGrant(grant));
  }
  return set;
}

LeaseResponse ReadLeaseResponse(const std::string& body) {
  const nlohmann::json answer = nlohmann::json::parse(body);
  LeaseResponse response;
  response.result = static_cast<ResultCode>(answer.at("result").get<uint32_t>());
  if (response.result != ResultCode::kOk) {
    return response;
  }
  response.lease = absl::Microseconds(answer.at("lease_us").get<int64_t>());
  response.grants_included = answer.value("grants_included", false);
  if (response.grants_included) {
    response.grants = ReadGrantSet(answer);
  } else {
    response.grants.version = ParseToken(answer.at("version").get<std::string>());
  }
  return response;
}

}  // namespace ladderstream::standin
