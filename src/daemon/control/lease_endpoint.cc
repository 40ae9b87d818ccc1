#include "daemon/control/lease_endpoint.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "daemon/control/lease_json.h"
#include "logging/log.h"
#include "wire/result_code.h"

namespace ladderstream::control {
namespace {

constexpr char kJsonType[] = "application/json";

void AnswerMalformed(const Error& error, httplib::Response* response) {
  Log(Part::kLease, Severity::kWarning, "Malformed lease request.", {{"error", error.what()}});
  const nlohmann::json body = {{"result", static_cast<uint32_t>(ResultCode::kMalformedRequest)},
                               {"message", error.what()}};
  response->status = HttpStatusOf(ResultCode::kMalformedRequest);
  response->set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                        kJsonType);
}

void HandleLease(ControlPlane* control_plane, const httplib::Request& request,
                 httplib::Response* response) {
  try {
    const BackendId backend(request.matches[1].str());
    const LeaseRequest lease_request = ParseLeaseRequest(backend, request.body);
    const LeaseResponse lease = control_plane->RequestLease(lease_request, kLeaseRequestTimeout);
    response->status = HttpStatusOf(lease.result);
    response->set_content(FormatLeaseResponse(lease), kJsonType);
  } catch (const Error& error) {
    AnswerMalformed(error, response);
  }
}

}  // namespace

void MountLeaseEndpoint(httplib::Server* server, ControlPlanePtr control_plane) {
  server->Post(R"(/v1/backends/([A-Za-z0-9_.\-]{1,128})/lease)",
               [control_plane = std::move(control_plane)](const httplib::Request& request,
                                                          httplib::Response& response) {
                 HandleLease(control_plane.get(), request, &response);
               });
}

}  // namespace ladderstream::control
