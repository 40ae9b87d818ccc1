#include "standin/backend/backend_server.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <exception>
#include <stdexcept>

#include "standin/backend/lease_codec.h"
#include "standin/support/boot_time.h"

namespace ladderstream::standin {
namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr char kNotRunHeader[] = "Ladderstream-Not-Run";
constexpr Duration kLeavePoll = absl::Milliseconds(10);

int StatusOfRefusal(const std::string& reason) {
  if (reason == "wrong-grant") {
    return kConflict;
  }
  return reason == "expired" ? kGatewayTimeout : kServiceUnavailable;
}

Time ReadDeadline(const httplib::Request& request) {
  const std::string text = request.get_header_value("Ladderstream-Deadline-Ms");
  int64_t milliseconds = 0;
  if (text.empty()) {
    return absl::InfiniteFuture();
  }
  if (!absl::SimpleAtoi(text, &milliseconds)) {
    throw std::invalid_argument("the deadline is not a number");
  }
  return BootTimeNow() + absl::Milliseconds(milliseconds);
}

RequestIdentity ReadIdentity(const httplib::Request& request) {
  RequestIdentity identity;
  identity.service = request.matches[1];
  identity.request = request.matches[2];
  identity.key = request.get_param_value("key");
  identity.request_id = request.get_header_value("Ladderstream-Request-Id");
  identity.caller_id = request.get_header_value("Ladderstream-Caller-Id");
  identity.token = request.get_header_value("Ladderstream-Grant");
  return identity;
}

}  // namespace

BackendServer::BackendServer(const BackendSettings& settings)
    : settings_(settings),
      record_(settings.id.value(), settings.lease.incarnation.value(), settings.record_file),
      runner_(settings.runner, &record_),
      lease_client_(settings.lease, &runner_),
      server_(settings.connections) {
  RouteRequests();
  RouteReports();
  RouteControl();
  server_.Start(settings.listen);
}

void BackendServer::RouteRequests() {
  server_.Post("/serve/([^/]+)/([^/]+)",
               [this](const auto& request, auto& response) { Serve(request, response); });
  server_.Post("/cancel/(.+)",
               [this](const httplib::Request& request, httplib::Response& response) {
                 AnswerJson({{"dropped", runner_.Cancel(request.matches[1])}}, kOk, response);
               });
  server_.Post("/grants", [this](const httplib::Request& request, httplib::Response& response) {
    response.status = kAccepted;
    TakeHint(request);
  });
}

void BackendServer::RouteReports() {
  const auto report = [this](nlohmann::json (BackendServer::*read)() const) {
    return [this, read](const httplib::Request&, httplib::Response& response) {
      absl::SleepFor(settings_.probe_cost);
      AnswerJson((this->*read)(), kOk, response);
    };
  };
  server_.Get("/health", report(&BackendServer::Health));
  server_.Get("/load", report(&BackendServer::Load));
}

void BackendServer::RouteControl() {
  server_.Get("/status", [this](const httplib::Request&, httplib::Response& response) {
    AnswerJson(Status(), kOk, response);
  });
  server_.Get("/record", [this](const httplib::Request& request, httplib::Response& response) {
    size_t from = 0;
    if (request.has_param("from") && !absl::SimpleAtoi(request.get_param_value("from"), &from)) {
      AnswerJson({{"error", "from is not a number"}}, kBadRequest, response);
      return;
    }
    AnswerJson(record_.Read(from), kOk, response);
  });
  server_.Post("/control", [this](const httplib::Request& request, httplib::Response& response) {
    try {
      Control(nlohmann::json::parse(request.body));
      AnswerJson(Status(), kOk, response);
    } catch (const std::exception& error) {
      AnswerJson({{"error", error.what()}}, kBadRequest, response);
    }
  });
}

void BackendServer::Serve(const httplib::Request& request, httplib::Response& response) {
  try {
    const RunRequest work{ReadIdentity(request), ReadDeadline(request)};
    const RunResult result = runner_.Run(work);
    if (result.not_run.empty()) {
      Answer(work.identity, result.sequence, response);
      return;
    }
    response.status = StatusOfRefusal(result.not_run);
    response.set_header(kNotRunHeader, result.not_run);
  } catch (const std::exception& error) {
    AnswerJson({{"error", error.what()}}, kBadRequest, response);
  }
}

void BackendServer::Answer(const RequestIdentity& identity, uint64_t sequence,
                           httplib::Response& response) {
  nlohmann::json body = {{"service", identity.service},
                         {"key", identity.key},
                         {"request", identity.request},
                         {"request_id", identity.request_id},
                         {"caller_id", identity.caller_id},
                         {"sequence", sequence},
                         {"backend", settings_.id.value()},
                         {"token", identity.token},
                         {"incarnation", std::to_string(settings_.lease.incarnation.value())}};
  const size_t size = DumpJson(body).size();
  if (size < settings_.body_bytes) {
    body["padding"] = std::string(settings_.body_bytes - size, 'x');
  }
  bool truncate = false;
  Duration late_by = absl::ZeroDuration();
  {
    absl::MutexLock lock(&mutex_);
    if (faults_.truncate_answers > 0) {
      --faults_.truncate_answers;
      truncate = true;
    }
    if (faults_.late_answers > 0) {
      --faults_.late_answers;
      late_by = faults_.late_by;
    }
  }
  absl::SleepFor(late_by);
  if (truncate) {
    AnswerTruncated(DumpJson(body), "application/json", response);
  } else {
    AnswerJson(body, kOk, response);
  }
}

void BackendServer::TakeHint(const httplib::Request& request) {
  try {
    const GrantSet hint = ReadGrantSet(nlohmann::json::parse(request.body));
    if (hint.version > runner_.held().version) {
      lease_client_.AskNow();
    }
  } catch (const std::exception&) {
    // An unreadable hint still says that something is new.
    lease_client_.AskNow();
  }
}

void BackendServer::Control(const nlohmann::json& change) {
  if (change.contains("service_time_ms")) {
    runner_.SetServiceTime(absl::Milliseconds(change.at("service_time_ms").get<double>()));
  }
  absl::MutexLock lock(&mutex_);
  faults_.truncate_answers = change.value("truncate_answers", faults_.truncate_answers);
  faults_.late_answers = change.value("late_answers", faults_.late_answers);
  if (change.contains("late_ms")) {
    faults_.late_by = absl::Milliseconds(change.at("late_ms").get<double>());
  }
  faults_.health = change.value("health", faults_.health);
  faults_.load_factor = change.value("load_factor", faults_.load_factor);
}

nlohmann::json BackendServer::Health() const {
  absl::MutexLock lock(&mutex_);
  const bool honest = faults_.health == "honest";
  const bool healthy = honest ? !leaving_ : faults_.health == "passing";
  return {{"status", healthy ? "ok" : "failing"}};
}

nlohmann::json BackendServer::Load() const {
  const LoadSample sample = runner_.Load(settings_.report_lag);
  absl::MutexLock lock(&mutex_);
  return {{"slots", settings_.runner.slots},
          {"running", sample.running * faults_.load_factor},
          {"queued", sample.queued * faults_.load_factor}};
}

nlohmann::json BackendServer::Status() const {
  const GrantSet held = runner_.held();
  const LoadSample load = runner_.Load(absl::ZeroDuration());
  nlohmann::json grants = nlohmann::json::array();
  for (const Grant& grant : held.grants) {
    grants.push_back({{"service", grant.shard.service.value()},
                      {"range", grant.shard.range.value()},
                      {"key", grant.shard.key},
                      {"token", FormatToken(grant.token)},
                      {"excluded_keys", grant.excluded_keys}});
  }
  absl::MutexLock lock(&mutex_);
  return {{"backend", settings_.id.value()},
          {"incarnation", std::to_string(settings_.lease.incarnation.value())},
          {"version", FormatToken(held.version)},
          {"applied_version", FormatToken(runner_.applied_version())},
          {"lease_left_ms", absl::ToDoubleMilliseconds(runner_.lease_end() - BootTimeNow())},
          {"grants", grants},
          {"running", load.running},
          {"queued", load.queued},
          {"leaving", leaving_}};
}

void BackendServer::Leave() {
  {
    absl::MutexLock lock(&mutex_);
    leaving_ = true;
  }
  lease_client_.Leave();
  const Time give_up = BootTimeNow() + settings_.leave_timeout;
  WaitUntilIdle(give_up);
  runner_.RefuseNew();
  WaitUntilIdle(absl::InfiniteFuture());
}

void BackendServer::WaitUntilIdle(Time give_up) {
  while (BootTimeNow() < give_up) {
    const LoadSample load = runner_.Load(absl::ZeroDuration());
    const bool nothing_in_flight = load.running == 0 && load.queued == 0;
    const bool quiet = BootTimeNow() - runner_.last_arrival() > settings_.leave_quiet;
    const bool gave_up_leaving = give_up == absl::InfiniteFuture();
    if (nothing_in_flight && (gave_up_leaving || (quiet && lease_client_.HasLeft()))) {
      return;
    }
    absl::SleepFor(kLeavePoll);
  }
}

}  // namespace ladderstream::standin
