#include "standin/fleet/soak_registrations.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>
#include <vector>

#include "standin/fleet/wire_names.h"

namespace ladderstream::fleet {
namespace {

constexpr Duration kRestartDelay = absl::Milliseconds(700);
/// A row that no heartbeat renews stays for three heartbeats.
constexpr int kHeartbeatsKept = 3;

nlohmann::json RowOf(const Backend& backend) {
  return {{"service", backend.service()},
          {"address", FormatEndpoint(backend.address())},
          {"zone", backend.zone()},
          {"version", "v1"},
          {"slots", 2},
          {"state", "ready"},
          {"cold_left_s", 0},
          {"seq", 20}};
}

/// Forms of the rows that other writers may leave.
constexpr uint64_t kForeignForms = 5;

std::string ForeignRow(const Backend& backend, uint64_t form) {
  nlohmann::json row = RowOf(backend);
  switch (form % kForeignForms) {
    case 0:
      row["service"] = "a service without a configuration";
      return row.dump();
    case 1:
      row["service"] = "a service without a configuration";
      row["born"] = 1;
      return row.dump();
    case 2:
      row.erase("service");
      return row.dump();
    case 3:
      row["slots"] = "two";
      row["state"] = "asleep";
      return row.dump();
    default:
      return row.dump().substr(0, row.dump().size() / 2);
  }
}

}  // namespace

void RegistrationFaultInjector::Strike(const SoakFault& fault) {
  const auto& services = fleet_->settings().services;
  std::vector<Backend*> backends = fleet_->backends(services[fault.target % services.size()].name);
  std::erase_if(backends, [](const Backend* backend) { return !backend->serving(); });
  if (backends.size() < 2) {
    return;
  }
  Backend* const backend = backends[fault.target % backends.size()];
  if (fault.kind == FaultKind::kLateRegistration) {
    WriteLate(backend, fault);
  } else {
    WriteForeign(*backend, fault);
  }
}

void RegistrationFaultInjector::WriteLate(Backend* backend, const SoakFault& fault) {
  const auto& services = fleet_->settings().services;
  const bool other_service = fault.target % 4 == 0;
  const std::string service =
      other_service ? services[(fault.target + 1) % services.size()].name : backend->service();
  backend->Crash();
  later_(kRestartDelay, [this, backend, service] {
    fleet_->Replace(*backend, service);
    if (service != backend->service()) {
      fleet_->AddBackend(backend->service(), backend->zone());
    }
  });
  later_(fault.lasts, [this, backend] { Put(backend->id(), RowOf(*backend).dump()); });
  later_(fault.lasts + fleet_->heartbeat() * kHeartbeatsKept,
         [this, backend] { Remove(backend->id()); });
}

void RegistrationFaultInjector::WriteForeign(const Backend& backend, const SoakFault& fault) {
  const std::string id = absl::StrCat("foreign-", ++last_foreign_);
  Put(id, ForeignRow(backend, fault.target));
  later_(fault.lasts, [this, id] { Remove(id); });
}

void RegistrationFaultInjector::Put(const std::string& id, const std::string& value) {
  store::Transaction transaction;
  transaction.puts.push_back({{wire::kBackendTable, "", id}, value});
  TransactionResult result;
  fleet_->store().Transact(transaction, &result);
  written_.insert(id);
}

void RegistrationFaultInjector::Remove(const std::string& id) {
  store::Transaction transaction;
  transaction.removals.push_back({wire::kBackendTable, "", id});
  TransactionResult result;
  // A store that is down takes no write; the row goes when all faults end.
  if (fleet_->store().Transact(transaction, &result)) {
    written_.erase(id);
  }
}

void RegistrationFaultInjector::Heal() {
  for (const std::string& id : std::set<std::string>(written_)) {
    Remove(id);
  }
}

}  // namespace ladderstream::fleet
