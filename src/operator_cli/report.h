// Writes answers for people (tables) or programs (JSON).
#pragma once

#include <google/protobuf/message.h>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "generated/operator.pb.h"
#include "operator_cli/options.h"

namespace ladderstream::operator_cli {

namespace proto = ladderstream::operators::v1;

/// What one node of the list said, or why it said nothing.
struct NodeAnswer {
  std::string address;
  std::optional<proto::GetStatusResponse> status;
  std::string failure;
};

/// Not thread-safe.
class Report {
 public:
  Report(OutputFormat format, std::ostream& out) : format_(format), out_(out) {}

  void Write(const proto::Result& result);
  void Write(const proto::GetConfigurationResponse& configuration);
  void Write(const proto::ListServicesResponse& services);
  void Write(const proto::ListBackendsResponse& backends);
  void Write(const proto::ListAssignmentsResponse& assignments);
  void Write(const proto::GetOperationResponse& operation);
  void Write(const std::vector<NodeAnswer>& answers);

 private:
  void WriteJson(const google::protobuf::Message& message);

  OutputFormat format_;
  std::ostream& out_;
};

}  // namespace ladderstream::operator_cli
