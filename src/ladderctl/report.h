// Writes answers for people (tables) or programs (JSON).
#pragma once

#include <google/protobuf/message.h>

#include <ostream>

#include "generated/operators.pb.h"
#include "ladderctl/options.h"

namespace ladderstream::ladderctl {

namespace proto = ladderstream::operators::v2;

/// Not thread-safe.
class Report {
 public:
  Report(OutputFormat format, std::ostream& out) : format_(format), out_(out) {}

  /// As JSON, or as a table.
  template <typename Message>
  void Write(const Message& message) {
    if (format_ == OutputFormat::kJson) {
      WriteJson(message);
    } else {
      WriteTable(message);
    }
  }

 private:
  void WriteJson(const google::protobuf::Message& message);
  void WriteTable(const proto::Result& result);
  void WriteTable(const proto::GetConfigurationResponse& configuration);
  void WriteTable(const proto::ListBackendsResponse& backends);
  void WriteTable(const proto::ListAssignmentsResponse& assignments);
  void WriteTable(const proto::GetOperationResponse& operation);
  void WriteTable(const proto::GetStatusResponse& status);

  OutputFormat format_;
  std::ostream& out_;
};

}  // namespace ladderstream::ladderctl
