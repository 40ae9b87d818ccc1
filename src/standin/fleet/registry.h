// The back ends' registrations in the store: written by heartbeats, dropped when they stay out.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "core/catalog/catalog.h"
#include "standin/fleet/event_loop.h"
#include "standin/fleet/history.h"
#include "standin/fleet/store_server.h"

namespace ladderstream::fleet {

class Registry {
 public:
  Registry(EventLoop* loop, StoreServer* store, History* history, Duration heartbeat);

  Duration heartbeat() const { return heartbeat_; }

  /// A heartbeat; the row changes only when the registration does. False when the store is down.
  bool Beat(const catalog::Backend& backend);
  /// The back end signs off. False when the store is down.
  bool Remove(const std::string& id);

 private:
  struct Entry {
    catalog::Backend backend;
    Time last_beat;
    uint64_t sequence = 0;
  };

  void DropSilent();
  bool Drop(const std::string& id);
  void NoteLeaving(const std::string& id);
  void NoteBack(const std::string& id);

  EventLoop* loop_;
  StoreServer* store_;
  History* history_;
  Duration heartbeat_;
  std::map<std::string, Entry> entries_;
};

}  // namespace ladderstream::fleet
