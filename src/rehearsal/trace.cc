#include "rehearsal/trace.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <tuple>

#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

constexpr int kFormatVersion = 1;

struct FaultWord {
  FaultKind kind;
  const char* word;
};

constexpr std::array<FaultWord, 11> kFaultWords = {
    {{FaultKind::kKillBackend, "kill_backend"},
     {FaultKind::kFreezeBackend, "freeze_backend"},
     {FaultKind::kStopBackend, "stop_backend"},
     {FaultKind::kDrainBackend, "drain_backend"},
     {FaultKind::kKillNode, "kill_node"},
     {FaultKind::kFreezeNode, "freeze_node"},
     {FaultKind::kStopNode, "stop_node"},
     {FaultKind::kTableDown, "table_down"},
     {FaultKind::kTableSlow, "table_slow"},
     {FaultKind::kLoseTableAnswers, "lose_table_answers"},
     {FaultKind::kMoveKey, "move_key"}}};

int64_t Ms(absl::Duration duration) { return absl::ToInt64Milliseconds(duration); }

absl::Duration ReadMs(const nlohmann::json& event, const char* name) {
  return absl::Milliseconds(event.at(name).get<int64_t>());
}

nlohmann::json ToJson(const TraceHeader& header) {
  return {{"trace", kFormatVersion}, {"deployment", header.deployment},
          {"nodes", header.nodes},   {"length_ms", Ms(header.length)},
          {"origin", header.origin}, {"seed", header.seed}};
}

nlohmann::json ToJson(const RequestBatch& batch) {
  return {{"at_ms", Ms(batch.at)},
          {"event", "requests"},
          {"service", batch.service},
          {"request", batch.request},
          {"keys", batch.keys}};
}

nlohmann::json ToJson(const Fault& fault) {
  nlohmann::json event = {{"at_ms", Ms(fault.from)}, {"for_ms", Ms(fault.until - fault.from)}};
  for (const FaultWord& entry : kFaultWords) {
    if (entry.kind == fault.kind) {
      event["event"] = entry.word;
    }
  }
  if (!fault.target.empty()) {
    event["target"] = fault.target;
  }
  if (!fault.key.empty()) {
    event["key"] = fault.key;
  }
  return event;
}

TraceHeader ReadHeader(const nlohmann::json& event) {
  if (event.at("trace").get<int>() != kFormatVersion) {
    throw Error(ResultCode::kMalformedMessage, "a trace of another version");
  }
  TraceHeader header;
  header.deployment = event.at("deployment").get<std::string>();
  header.nodes = event.at("nodes").get<uint32_t>();
  header.length = ReadMs(event, "length_ms");
  header.origin = event.at("origin").get<std::string>();
  header.seed = event.at("seed").get<uint64_t>();
  return header;
}

RequestBatch ReadBatch(const nlohmann::json& event) {
  return RequestBatch{.at = ReadMs(event, "at_ms"),
                      .service = event.at("service").get<std::string>(),
                      .request = event.at("request").get<std::string>(),
                      .keys = event.at("keys").get<std::vector<uint32_t>>()};
}

Fault ReadFault(const nlohmann::json& event) {
  const auto word = event.at("event").get<std::string>();
  const auto found = std::find_if(kFaultWords.begin(), kFaultWords.end(),
                                  [&word](const FaultWord& entry) { return entry.word == word; });
  if (found == kFaultWords.end()) {
    throw Error(ResultCode::kMalformedMessage, absl::StrCat("unknown event ", word));
  }
  Fault fault;
  fault.kind = found->kind;
  fault.target = event.value("target", "");
  fault.key = event.value("key", "");
  fault.from = ReadMs(event, "at_ms");
  fault.until = fault.from + ReadMs(event, "for_ms");
  return fault;
}

void ReadEvent(const nlohmann::json& event, Trace& trace) {
  if (event.contains("trace")) {
    trace.header = ReadHeader(event);
  } else if (event.at("event") == "requests") {
    trace.batches.push_back(ReadBatch(event));
  } else {
    trace.faults.push_back(ReadFault(event));
  }
}

}  // namespace

void WriteTrace(const Trace& trace, std::ostream& output) {
  output << ToJson(trace.header).dump() << "\n";
  auto fault = trace.faults.begin();
  for (const RequestBatch& batch : trace.batches) {
    for (; fault != trace.faults.end() && fault->from <= batch.at; ++fault) {
      output << ToJson(*fault).dump() << "\n";
    }
    output << ToJson(batch).dump() << "\n";
  }
  for (; fault != trace.faults.end(); ++fault) {
    output << ToJson(*fault).dump() << "\n";
  }
}

Trace ReadTrace(std::istream& input) {
  Trace trace;
  std::string line;
  for (int number = 1; std::getline(input, line); ++number) {
    try {
      ReadEvent(nlohmann::json::parse(line), trace);
    } catch (const std::exception& error) {
      throw Error(ResultCode::kMalformedMessage,
                  absl::StrCat("trace line ", number, ": ", error.what()));
    }
  }
  if (trace.header.deployment.empty()) {
    throw Error(ResultCode::kMalformedMessage, "a trace without its first line");
  }
  return trace;
}

void BatchCollector::Add(absl::Duration at, const std::string& service, const std::string& request,
                         uint32_t key) {
  const absl::Duration start = absl::Floor(at, kBatchLength);
  const auto found =
      std::find_if(batches_.rbegin(), batches_.rend(), [&](const RequestBatch& batch) {
        return batch.at == start && batch.service == service && batch.request == request;
      });
  if (found != batches_.rend()) {
    found->keys.push_back(key);
    return;
  }
  batches_.push_back({.at = start, .service = service, .request = request, .keys = {key}});
}

std::vector<RequestBatch> BatchCollector::Take() {
  std::sort(batches_.begin(), batches_.end(), [](const RequestBatch& a, const RequestBatch& b) {
    return std::tie(a.at, a.service, a.request) < std::tie(b.at, b.service, b.request);
  });
  return std::move(batches_);
}

}  // namespace ladderstream::rehearsal
