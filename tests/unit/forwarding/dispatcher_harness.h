// A dispatcher with a clock that tests move, a small catalog, and short names for what it decides.
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
/// each with a route "/<name>/" of host "h.example". Starts 20 s after the configuration came, so
/// that the retry budget is full.
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
  /// `age`: how long ago this may have happened.
  void RemoveBackend(const std::string& id, bool store_troubled = false,
                     Duration age = absl::ZeroDuration());
  void Drain(const std::string& id, Duration age = absl::ZeroDuration());
  /// Gives all keys of "scripts" to `owner`, as the next map.
  void Own(const std::string& owner, std::vector<ownership::KeyRange> moving = {});

  RequestHandle Start(const std::string& target, Duration deadline = absl::Seconds(2),
                      std::optional<ownership::Key> key = std::nullopt);
  /// Starts and expects the first decision to be a send.
  SendDecision StartAndSend(const std::string& target, Duration deadline = absl::Seconds(2),
                            std::optional<ownership::Key> key = std::nullopt);

  /// Moves the clock, with a tick at every wake on the way.
  void Advance(Duration time);
  void Sent(const SendDecision& send) { dispatcher.OnSent(send.attempt, now); }
  void Fail(const SendDecision& send, AttemptFailure failure) {
    dispatcher.OnAttemptFailure(send.attempt, failure, now);
  }
  void Answer(const SendDecision& send, int status = 200, uint32_t running = 1,
              uint32_t waiting = 0);
  /// An answer that says that the request did not run.
  void Refuse(const SendDecision& send, int status = 503, uint32_t waiting = 8,
              uint32_t running = 2);

  /// The only decision since the last look, which is of this kind.
  template <typename T>
  T Only() {
    const std::vector<RequestDecision> decisions = dispatcher.TakeDecisions();
    BOOST_REQUIRE_EQUAL(decisions.size(), 1U);
    const T* decision = std::get_if<T>(&decisions.front().decision);
    BOOST_REQUIRE_MESSAGE(decision != nullptr,
                          "kind of decision: " << decisions.front().decision.index());
    return *decision;
  }
  /// All decisions of this kind since the last look; others are dropped.
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
  /// What the dispatcher was told.
  catalog::BackendSet registered;
  RequestHandle last = 0;
  /// Runs after each tick.
  std::function<void()> after_tick = [] {};

 private:
  uint64_t map_sequence_ = 0;
};

}  // namespace ladderstream::forwarding
