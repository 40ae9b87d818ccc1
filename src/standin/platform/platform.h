// The platform in one process: table service, object store and machine list, each on a port of its
// own and each able to fail, steered over a control port.
//
//   POST /control {"target":"table|objects|machines", "down":bool, "delay_ms":n, "rate_limit":n,
//                  "lose_answers":n, "lag_ms":n}     changes what is named
//   GET  /control                                    gives all settings and counts
//
// "down" refuses connections and closes open ones; "lag_ms" is for the machine list alone.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <string>

#include "standin/platform/machine_list.h"
#include "standin/platform/service_faults.h"
#include "standin/platform/table_store.h"
#include "standin/support/http_server.h"

namespace ladderstream::standin {

struct PlatformSettings {
  Endpoint table;
  Endpoint objects;
  Endpoint machines;
  Endpoint control;
  double table_rate_limit = 0;
  double object_rate_limit = 0;
  absl::Duration machine_list_lag = absl::Seconds(2);
};

/// Serves from construction to destruction.
class Platform {
 public:
  explicit Platform(const PlatformSettings& settings);

  Endpoint table() const { return table_.server.endpoint(); }
  Endpoint objects() const { return objects_.server.endpoint(); }
  Endpoint machines() const { return machines_.server.endpoint(); }
  Endpoint control() const { return control_.endpoint(); }

 private:
  struct Service {
    explicit Service(double rate_limit) : faults(rate_limit) {}
    ServiceFaults faults;
    HttpServer server;
    bool down = false;
  };
  using Effect = std::function<nlohmann::json(const nlohmann::json&)>;

  void RouteTable();
  void RouteObjects();
  void RouteMachines();
  void RouteControl();
  void RunTransaction(const httplib::Request& request, httplib::Response& response);
  void PutObject(const httplib::Request& request, httplib::Response& response);
  void GetObject(const httplib::Request& request, httplib::Response& response);
  void Control(const nlohmann::json& change);
  Service& Find(const std::string& target);
  nlohmann::json Describe();

  TableStore rows_;
  MachineList machine_list_;
  absl::Mutex objects_mutex_;
  std::map<std::string, std::string> object_bytes_ ABSL_GUARDED_BY(objects_mutex_);
  absl::Mutex control_mutex_;
  Service table_;
  Service objects_;
  Service machines_;
  HttpServer control_;
};

}  // namespace ladderstream::standin
