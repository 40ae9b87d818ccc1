#include "standin/platform/machine_list.h"

namespace ladderstream::standin {

void MachineList::Register(const nlohmann::json& machine, absl::Time now) {
  auto name = machine.at("name").get<std::string>();
  absl::MutexLock lock(&mutex_);
  changes_.push_back(Change{now, std::move(name), machine});
}

nlohmann::json MachineList::Read(absl::Time now) const {
  absl::MutexLock lock(&mutex_);
  std::map<std::string, nlohmann::json> machines;
  for (const Change& change : changes_) {
    if (change.at + lag_ <= now) {
      machines[change.name] = change.machine;
    }
  }
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, machine] : machines) {
    list.push_back(machine);
  }
  return {{"machines", list}};
}

void MachineList::SetLag(absl::Duration lag) {
  absl::MutexLock lock(&mutex_);
  lag_ = lag;
}

}  // namespace ladderstream::standin
