#include "standin/fleet/config_writer.h"

#include <iterator>
#include <utility>

#include "standin/fleet/wire_names.h"

namespace ladderstream::fleet {
namespace {

// Versions rise in uneven steps.
constexpr uint64_t kSteps[] = {2, 1, 5, 3};

store::Transaction PutRow(std::string value) {
  store::Transaction transaction;
  transaction.puts.push_back(
      {{.table = wire::kConfigurationTable, .partition = "", .key = wire::kConfigurationKey},
       std::move(value)});
  return transaction;
}

}  // namespace

bool ConfigWriter::Write(catalog::Configuration configuration,
                         const ConfigurationEncoding& encoding) {
  const uint64_t step = kSteps[history_->configurations.size() % std::size(kSteps)];
  configuration.version = newest_.version + step;
  TransactionResult result;
  if (!store_->Transact(PutRow(EncodeConfiguration(configuration, newest_.version, encoding)),
                        &result)) {
    return false;
  }
  Note(configuration);
  return true;
}

bool ConfigWriter::WriteDamaged(ConfigurationDamage damage) {
  catalog::Configuration configuration = newest_;
  // Whoever takes it serves no route.
  configuration.routes.resize(1);
  ++configuration.version;
  TransactionResult result;
  return store_->Transact(PutRow(EncodeDamaged(configuration, damage)), &result);
}

void ConfigWriter::Note(const catalog::Configuration& configuration) {
  newest_ = configuration;
  history_->configurations.push_back({.configuration = newest_, .acknowledged = EventLoop::Now()});
}

}  // namespace ladderstream::fleet
