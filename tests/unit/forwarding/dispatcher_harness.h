// A dispatcher with a simulated clock, a small catalog, and helpers to inspect its decisions.
#pragma once

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/forwarding/dispatcher.h"

namespace ladderstream::forwarding {

/// Services: "cards" (any back end), "books" (any back end, at most once), "scripts" (sharded),
/// each with a route "/<name>/" of host "h.example". The clock starts 20 s after the configuration
/// was set, so that the retry budget is full.
class DispatcherHarness {
 public:
  explicit DispatcherHarness(const DispatcherSettings& settings = DefaultSettings());

  static DispatcherSettings DefaultSettings();
  static catalog::Configuration DefaultConfiguration();
  /// A ready back end with 2 slots in zone "a".
  static catalog::Backend MakeBackend(const std::string& id, const std::string& service);

  void Configure(const catalog::Configuration& configuration);
  void AddBackend(const catalog::Backend& backend);
  void AddBackends(const std::string& service, const std::vector<std::string>& ids);
  /// `age`: upper bound of how long ago the change happened.
  void RemoveBackend(const std::string& id, bool store_troubled = false,
                     Duration age = absl::ZeroDuration());
  void Drain(const std::string& id, Duration age = absl::ZeroDuration());
  /// Publishes the next map, in which `owner` owns all keys of "scripts".
  void Own(const std::string& owner, std::vector<ownership::KeyRange> moving = {});

  RequestHandle Start(const std::string& target, Duration deadline = absl::Seconds(2),
                      std::optional<ownership::Key> key = std::nullopt);
  /// Starts a request and requires its first decision to be a send.
  SendDecision StartAndSend(const std::string& target, Duration deadline = absl::Seconds(2),
                            std::optional<ownership::Key> key = std::nullopt);

  /// Advances the clock, with a tick at every wake-up time on the way.
  void Advance(Duration time);
  void Sent(const SendDecision& send) { dispatcher.OnSent(send.attempt, now); }
  void Fail(const SendDecision& send, AttemptFailure failure) {
    dispatcher.OnAttemptFailure(send.attempt, failure, now);
  }
  void Answer(const SendDecision& send, int status = 200, uint32_t running = 1,
              uint32_t waiting = 0);
  /// Answers that the request was not run.
  void Refuse(const SendDecision& send, int status = 503, uint32_t waiting = 8,
              uint32_t running = 2);

  /// Returns the only decision since the last call, which must be of this kind.
  template <typename T>
  T Only() {
    const std::vector<RequestDecision> decisions = dispatcher.TakeDecisions();
    BOOST_REQUIRE_EQUAL(decisions.size(), 1U);
    const T* decision = std::get_if<T>(&decisions.front().decision);
    BOOST_REQUIRE_MESSAGE(decision != nullptr,
                          "kind of decision: " << decisions.front().decision.index());
    return *decision;
  }
  /// Returns all decisions of this kind since the last call; others are dropped.
  template <typename T>
  std::vector<T> All() {
    std::vector<T> found;
    for (const RequestDecision& decision : dispatcher.TakeDecisions()) {
      if (const T* wanted = std::get_if<T>(&decision.decision)) {
        found.push_back(*wanted);
      }
    }
    return found;
  }
  bool HasNoDecisions() { return dispatcher.TakeDecisions().empty(); }

  Time now = absl::FromUnixSeconds(1000);
  Dispatcher dispatcher;
  std::vector<catalog::Backend> backends;
  /// The registrations last passed to the dispatcher.
  catalog::BackendSet registered;
  RequestHandle last = 0;
  /// Runs after each tick.
  std::function<void()> after_tick = [] {};

 private:
  uint64_t map_sequence_ = 0;
};

}  // namespace ladderstream::forwarding
