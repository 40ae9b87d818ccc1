#include "trace.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

#include "wire/result_code.h"

namespace ladderstream::replay {
namespace {

using nlohmann::json;

constexpr int kFormat = 2;

const std::map<std::string, FaultKind> kFaultNames = {
    {"table_down", FaultKind::kStoreDown},        {"kill_node", FaultKind::kNodeKilled},
    {"stop_node", FaultKind::kNodeStopped},       {"freeze_node", FaultKind::kNodeFrozen},
    {"kill_backend", FaultKind::kBackendKilled},  {"freeze_backend", FaultKind::kBackendFrozen},
    {"drain_backend", FaultKind::kBackendDrained}};

[[noreturn]] void Refuse(const std::string& what) {
  throw Error(ResultCode::kMalformedMessage, what);
}

Duration Milliseconds(const json& object, const char* name) {
  return absl::Milliseconds(object.at(name).get<int64_t>());
}

void ReadHeader(const json& line, Trace* trace) {
  if (line.at("trace").get<int>() != kFormat) {
    Refuse("another format");
  }
  trace->nodes = line.at("nodes").get<size_t>();
  trace->length = Milliseconds(line, "length_ms");
  trace->services = line.at("services").get<std::map<std::string, size_t>>();
}

/// Reads "SERVICE-NUMBER".
void ReadTarget(const std::string& target, Fault* fault) {
  const size_t dash = target.rfind('-');
  if (dash == std::string::npos || !absl::SimpleAtoi(target.substr(dash + 1), &fault->number)) {
    Refuse("a target without a number");
  }
  fault->service = target.substr(0, dash);
}

void ReadEvent(const json& line, Trace* trace) {
  const auto event = line.at("event").get<std::string>();
  if (event == "requests") {
    trace->batches.push_back({.at = Milliseconds(line, "at_ms"),
                              .service = line.at("service").get<std::string>(),
                              .keys = line.at("keys").get<std::vector<ownership::Key>>()});
    return;
  }
  const auto kind = kFaultNames.find(event);
  if (kind == kFaultNames.end()) {
    Refuse(absl::StrCat("unknown event ", event));
  }
  Fault fault;
  fault.at = Milliseconds(line, "at_ms");
  fault.length = Milliseconds(line, "for_ms");
  fault.kind = kind->second;
  if (fault.kind != FaultKind::kStoreDown) {
    ReadTarget(line.at("target").get<std::string>(), &fault);
  }
  trace->faults.push_back(fault);
}

/// What is asked for or struck must be there.
void Check(const Trace& trace) {
  for (const Batch& batch : trace.batches) {
    if (!trace.services.contains(batch.service)) {
      Refuse(absl::StrCat("unknown service ", batch.service));
    }
  }
  for (const Fault& fault : trace.faults) {
    const bool is_node = fault.service == "node";
    const auto service = trace.services.find(fault.service);
    const size_t count = is_node                           ? trace.nodes
                         : service == trace.services.end() ? 0
                                                           : service->second;
    if (fault.kind != FaultKind::kStoreDown && fault.number >= count) {
      Refuse(absl::StrCat("unknown target ", fault.service, "-", fault.number));
    }
  }
}

}  // namespace

Trace ReadTrace(std::istream& input) {
  Trace trace;
  size_t number = 0;
  for (std::string text; std::getline(input, text);) {
    ++number;
    try {
      const json line = json::parse(text);
      if (number == 1) {
        ReadHeader(line, &trace);
      } else {
        ReadEvent(line, &trace);
      }
    } catch (const std::exception& error) {
      Refuse(absl::StrCat("line ", number, ": ", error.what()));
    }
  }
  Check(trace);
  return trace;
}

Expectation ReadExpectation(std::istream& input) {
  try {
    const json bounds = json::parse(input);
    return {.in_time_share = bounds.at("min_in_time_share").get<double>(),
            .imbalance = bounds.at("max_imbalance").get<double>(),
            .churn = bounds.at("max_churn").get<double>(),
            .unavailable = Milliseconds(bounds, "max_unavailable_ms")};
  } catch (const json::exception& error) {
    Refuse(error.what());
  }
}

}  // namespace ladderstream::replay
