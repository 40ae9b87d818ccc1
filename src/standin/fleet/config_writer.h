// The operator: writes versions of the configuration into the store.
#pragma once

#include <string>

#include "core/catalog/catalog.h"
#include "standin/fleet/history.h"
#include "standin/fleet/store_server.h"

namespace ladderstream::fleet {

class ConfigWriter {
 public:
  ConfigWriter(StoreServer* store, History* history) : store_(store), history_(history) {}

  /// Writes the next version, the configuration's own number aside. False when the store is down.
  bool Write(catalog::Configuration configuration);

  /// Notes a version that another operator wrote.
  void Note(const catalog::Configuration& configuration);

  /// The newest version written.
  const catalog::Configuration& newest() const { return newest_; }

 private:
  StoreServer* store_;
  History* history_;
  catalog::Configuration newest_;
};

/// The value of the configuration's row.
std::string EncodeConfiguration(const catalog::Configuration& configuration, uint64_t base_version);

}  // namespace ladderstream::fleet
