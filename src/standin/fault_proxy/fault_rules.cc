#include "standin/fault_proxy/fault_rules.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <stdexcept>

namespace ladderstream::standin {

LinkFaults ReadFaults(const nlohmann::json& body) {
  LinkFaults faults;
  for (const auto& [name, value] : body.items()) {
    if (name == "delay_ms") {
      faults.delay = absl::Milliseconds(value.get<double>());
    } else if (name == "bytes_per_second") {
      faults.bytes_per_second = value.get<uint64_t>();
    } else if (name == "cut") {
      faults.cut = value.get<bool>();
    } else if (name == "half_open") {
      faults.half_open = value.get<bool>();
    } else if (name == "hold_forward") {
      faults.hold_forward = value.get<bool>();
    } else if (name == "hold_backward") {
      faults.hold_backward = value.get<bool>();
    } else if (name == "cut_after_bytes") {
      faults.cut_after_bytes = value.get<uint64_t>();
    } else if (name == "cut_answers") {
      faults.cut_answers = value.get<uint64_t>();
    } else {
      throw std::invalid_argument(absl::StrCat("no such fault: ", name));
    }
  }
  return faults;
}

void FaultRules::Set(const std::string& from, const LinkFaults& faults) {
  std::erase_if(rules_, [&from](const Rule& rule) { return rule.from == from; });
  rules_.push_back(Rule{from, faults});
}

LinkFaults& FaultRules::Find(const std::string& source) {
  const auto rule = std::find_if(rules_.rbegin(), rules_.rend(), [&source](const Rule& candidate) {
    return absl::StartsWith(source, candidate.from);
  });
  return rule == rules_.rend() ? clean_ : rule->faults;
}

}  // namespace ladderstream::standin
