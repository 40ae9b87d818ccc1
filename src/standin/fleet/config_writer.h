// The operator: writes versions of the configuration into the store.
#pragma once

#include "core/catalog/catalog.h"
#include "standin/fleet/configuration_encoding.h"
#include "standin/fleet/history.h"
#include "standin/fleet/store_server.h"

namespace ladderstream::fleet {

class ConfigWriter {
 public:
  ConfigWriter(StoreServer* store, History* history) : store_(store), history_(history) {}

  /// Writes the next version, the configuration's own number aside. False when the store is down.
  bool Write(catalog::Configuration configuration, const ConfigurationEncoding& encoding = {});

  /// Writes a row that is no configuration; the newest version stays in force. False when the store
  /// is down.
  bool WriteDamaged(ConfigurationDamage damage);

  /// Notes a version that another operator wrote.
  void Note(const catalog::Configuration& configuration);

  /// The newest version written.
  const catalog::Configuration& newest() const { return newest_; }

 private:
  StoreServer* store_;
  History* history_;
  catalog::Configuration newest_;
};

}  // namespace ladderstream::fleet
