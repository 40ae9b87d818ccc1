#include "standin/platform/platform.h"

#include <absl/strings/str_cat.h>

#include <functional>
#include <stdexcept>

#include "standin/support/boot_time.h"

namespace ladderstream::standin {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr char kObjectPath[] = R"(/v1/objects/(.+))";

void AnswerRateLimited(httplib::Response& response) {
  response.status = kTooManyRequests;
  response.set_header("Retry-After", "1");
}

void AnswerBadRequest(const std::exception& error, httplib::Response& response) {
  AnswerJson({{"error", error.what()}}, kBadRequest, response);
}

}  // namespace

Platform::Platform(const PlatformSettings& settings)
    : machine_list_(settings.machine_list_lag),
      table_(settings.table_rate_limit),
      objects_(settings.object_rate_limit),
      machines_(0) {
  RouteTable();
  RouteObjects();
  RouteMachines();
  RouteControl();
  table_.server.Start(settings.table);
  objects_.server.Start(settings.objects);
  machines_.server.Start(settings.machines);
  control_.Start(settings.control);
}

void Platform::RouteTable() {
  table_.server.Post("/v1/transaction", [this](const auto& request, auto& response) {
    RunTransaction(request, response);
  });
}

void Platform::RunTransaction(const httplib::Request& request, httplib::Response& response) {
  try {
    const nlohmann::json transaction = nlohmann::json::parse(request.body);
    const bool writes = transaction.contains("writes") && !transaction.at("writes").empty();
    const RequestFate fate = table_.faults.Admit(writes, BootTimeNow());
    if (fate == RequestFate::kRateLimited) {
      AnswerRateLimited(response);
      return;
    }
    const nlohmann::json answer = rows_.Run(transaction);
    if (fate == RequestFate::kLoseAnswer) {
      AnswerLost(response);
      return;
    }
    AnswerJson(answer, kOk, response);
  } catch (const std::exception& error) {
    AnswerBadRequest(error, response);
  }
}

void Platform::RouteObjects() {
  objects_.server.Put(kObjectPath,
                      [this](const httplib::Request& request, httplib::Response& response) {
                        PutObject(request, response);
                      });
  objects_.server.Get(
      kObjectPath, [this](const auto& request, auto& response) { GetObject(request, response); });
}

void Platform::PutObject(const httplib::Request& request, httplib::Response& response) {
  const RequestFate fate = objects_.faults.Admit(/*writes=*/true, BootTimeNow());
  if (fate == RequestFate::kRateLimited) {
    AnswerRateLimited(response);
    return;
  }
  {
    absl::MutexLock lock(&objects_mutex_);
    object_bytes_[request.matches[1]] = request.body;
  }
  if (fate == RequestFate::kLoseAnswer) {
    AnswerLost(response);
  }
}

void Platform::GetObject(const httplib::Request& request, httplib::Response& response) {
  if (objects_.faults.Admit(/*writes=*/false, BootTimeNow()) == RequestFate::kRateLimited) {
    AnswerRateLimited(response);
    return;
  }
  absl::MutexLock lock(&objects_mutex_);
  const auto found = object_bytes_.find(request.matches[1]);
  if (found == object_bytes_.end()) {
    response.status = kNotFound;
    return;
  }
  response.set_content(found->second, "application/octet-stream");
}

void Platform::RouteMachines() {
  constexpr char kPath[] = "/v1/machines";
  machines_.server.Get(kPath, [this](const httplib::Request&, httplib::Response& response) {
    machines_.faults.Admit(/*writes=*/false, BootTimeNow());
    AnswerJson(machine_list_.Read(BootTimeNow()), kOk, response);
  });
  machines_.server.Post(
      kPath, [this](const httplib::Request& request, httplib::Response& response) {
        try {
          machine_list_.Register(nlohmann::json::parse(request.body), BootTimeNow());
        } catch (const std::exception& error) {
          AnswerBadRequest(error, response);
        }
      });
}

void Platform::RouteControl() {
  constexpr char kPath[] = "/control";
  control_.Get(kPath, [this](const httplib::Request&, httplib::Response& response) {
    AnswerJson(Describe(), kOk, response);
  });
  control_.Post(kPath, [this](const httplib::Request& request, httplib::Response& response) {
    try {
      Control(nlohmann::json::parse(request.body));
      AnswerJson(Describe(), kOk, response);
    } catch (const std::exception& error) {
      AnswerBadRequest(error, response);
    }
  });
}

Platform::Service& Platform::Find(const std::string& target) {
  if (target == "table") {
    return table_;
  }
  if (target == "objects") {
    return objects_;
  }
  if (target == "machines") {
    return machines_;
  }
  throw std::invalid_argument(
      absl::StrCat("target \"", target, "\": want table, objects or machines"));
}

void Platform::Control(const nlohmann::json& change) {
  absl::MutexLock lock(&control_mutex_);
  Service& service = Find(change.at("target").get<std::string>());
  service.faults.Change(change);
  if (change.contains("lag_ms")) {
    machine_list_.SetLag(absl::Milliseconds(change.at("lag_ms").get<double>()));
  }
  const bool down = change.value("down", service.down);
  if (down && !service.down) {
    service.server.Stop();
  } else if (!down && service.down) {
    service.server.Start(service.server.endpoint());
  }
  service.down = down;
}

nlohmann::json Platform::Describe() {
  absl::MutexLock lock(&control_mutex_);
  nlohmann::json state;
  for (const char* target : {"table", "objects", "machines"}) {
    const Service& service = Find(target);
    state[target] = service.faults.Describe();
    state[target]["down"] = service.down;
    state[target]["endpoint"] = FormatEndpoint(service.server.endpoint());
  }
  return state;
}

}  // namespace ladderstream::standin
