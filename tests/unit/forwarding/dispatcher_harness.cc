#include "dispatcher_harness.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace ladderstream::forwarding {
namespace {

constexpr Duration kTarget = absl::Milliseconds(400);

catalog::Route MakeRoute(const std::string& service, catalog::Repeatability repeatability) {
  catalog::Route route;
  route.name = service;
  route.host = "h.example";
  route.path_prefix = absl::StrCat("/", service, "/");
  route.repeatability = repeatability;
  route.timeout = absl::Seconds(3);
  route.target_latency = kTarget;
  route.max_attempts = 3;
  route.targets = {{service, 1}};
  return route;
}

}  // namespace

DispatcherSettings DispatcherHarness::DefaultSettings() {
  DispatcherSettings settings;
  settings.zone = std::string("a");
  settings.answer_margin = absl::ZeroDuration();
  // The tests use times that depend on this value.
  settings.max_wait_share = 0.25;
  return settings;
}

catalog::Configuration DispatcherHarness::DefaultConfiguration() {
  catalog::Configuration configuration;
  configuration.version = 1;
  configuration.routes = {MakeRoute("cards", catalog::Repeatability::kRepeatable),
                          MakeRoute("books", catalog::Repeatability::kAtMostOnce),
                          MakeRoute("scripts", catalog::Repeatability::kRepeatable)};
  for (const char* name : {"cards", "books", "scripts"}) {
    configuration.services[name].name = name;
  }
  configuration.services["scripts"].sharded = true;
  return configuration;
}

catalog::Backend DispatcherHarness::MakeBackend(const std::string& id, const std::string& service) {
  catalog::Backend backend;
  backend.id = id;
  backend.service = service;
  backend.address = {"10.0.0.1", 80};
  backend.zone = std::string("a");
  backend.slots = 2;
  return backend;
}

DispatcherHarness::DispatcherHarness(const DispatcherSettings& settings) : dispatcher(settings) {
  Configure(DefaultConfiguration());
  now += absl::Seconds(20);
}

void DispatcherHarness::Configure(const catalog::Configuration& configuration) {
  dispatcher.SetConfiguration(std::make_shared<catalog::Configuration>(configuration), now);
}

void DispatcherHarness::AddBackend(const catalog::Backend& backend) {
  std::erase_if(backends, [&](const catalog::Backend& known) { return known.id == backend.id; });
  backends.push_back(backend);
  dispatcher.ChangeBackends(registered.Replace(backends), {false, now}, now);
}

void DispatcherHarness::AddBackends(const std::string& service,
                                    const std::vector<std::string>& ids) {
  for (const std::string& id : ids) {
    AddBackend(MakeBackend(id, service));
  }
}

void DispatcherHarness::RemoveBackend(const std::string& id, bool store_troubled, Duration age) {
  std::erase_if(backends, [&](const catalog::Backend& known) { return known.id == id; });
  dispatcher.ChangeBackends(registered.Replace(backends), {store_troubled, now - age}, now);
}

void DispatcherHarness::Drain(const std::string& id, Duration age) {
  for (catalog::Backend& backend : backends) {
    backend.draining = backend.draining || backend.id == id;
  }
  dispatcher.ChangeBackends(registered.Replace(backends), {false, now - age}, now);
}

void DispatcherHarness::Own(const std::string& owner, std::vector<ownership::KeyRange> moving) {
  auto map = std::make_shared<ownership::OwnershipMap>();
  map->version = {1, ++map_sequence_};
  ownership::ServiceOwnership& scripts = map->services["scripts"];
  scripts.assignments = {{{0, ownership::kLastKey}, owner, map_sequence_}};
  scripts.moving = std::move(moving);
  dispatcher.SetMapConfirmed(now + absl::Hours(1));
  dispatcher.SetOwnership(std::move(map), now);
}

RequestHandle DispatcherHarness::Start(const std::string& target, Duration deadline,
                                       std::optional<ownership::Key> key) {
  last = dispatcher.Start({"id", "h.example", target, key, now, now + deadline}, now);
  return last;
}

SendDecision DispatcherHarness::StartAndSend(const std::string& target, Duration deadline,
                                             std::optional<ownership::Key> key) {
  Start(target, deadline, key);
  return Only<SendDecision>();
}

void DispatcherHarness::Advance(Duration time) {
  const Time end = now + time;
  while (dispatcher.NextWake() <= end) {
    now = std::max(now, dispatcher.NextWake());
    dispatcher.OnTick(now);
    after_tick();
  }
  now = end;
}

void DispatcherHarness::Answer(const SendDecision& send, int status, uint32_t running,
                               uint32_t waiting) {
  AttemptAnswer answer;
  answer.status = status;
  answer.load.running = running;
  answer.load.waiting = waiting;
  answer.load.slots = 2;
  dispatcher.OnAttemptAnswer(send.attempt, answer, now);
}

void DispatcherHarness::Refuse(const SendDecision& send, int status, uint32_t waiting,
                               uint32_t running) {
  AttemptAnswer answer;
  answer.status = status;
  answer.not_executed = true;
  answer.load.running = running;
  answer.load.waiting = waiting;
  answer.load.slots = 2;
  dispatcher.OnAttemptAnswer(send.attempt, answer, now);
}

}  // namespace ladderstream::forwarding
