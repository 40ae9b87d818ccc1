// Bytes without an end, in every part of an answer, to a node's own calls and to requests: what the
// node holds, how long its loop works at one go, what the caller is told, and that the connection
// is reset.
#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <optional>
#include <string>

#include "gateway/http/data_path_settings.h"
#include "gateway/http/http_client.h"
#include "standin/fleet/endless_answer.h"
#include "support.h"

namespace ladderstream::gateway {
namespace {

using fleet::EndlessAnswer;
using fleet::EndlessForm;

/// How the bytes come.
enum class Pace { kFast, kSlow };

constexpr size_t kBodyBudget = 8U << 20U;
/// What the budget of bodies allows, twice while a body grows, and heads and buffers.
constexpr size_t kMostHeld = 2 * kBodyBudget + (1U << 20U);
/// Of processor time; others wait for so long at the most.
constexpr Duration kLongestTurn = absl::Milliseconds(20);
constexpr Duration kCallTimeout = absl::Milliseconds(400);
constexpr size_t kSlowBytes = 61;
constexpr Duration kPatience = absl::Seconds(10);

size_t HeldBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

Duration ProcessorTime() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return absl::DurationFromTimespec(used);
}

/// Sends an answer without an end, turn by turn of the loop that reads it.
class Flood {
 public:
  Flood(TestSocket* socket, EndlessAnswer answer, Pace pace)
      : socket_(socket), answer_(std::move(answer)), pace_(pace), rest_(answer_.first) {}

  void SendSome() {
    while (!socket_->ended) {
      if (rest_.empty()) {
        rest_ = answer_.block;
      }
      const size_t wanted =
          pace_ == Pace::kSlow ? std::min(kSlowBytes, rest_.size()) : rest_.size();
      const size_t sent = socket_->SendSome(rest_.substr(0, wanted));
      rest_.remove_prefix(sent);
      if (sent < wanted || pace_ == Pace::kSlow) {
        return;
      }
    }
  }

 private:
  TestSocket* socket_;
  EndlessAnswer answer_;
  Pace pace_;
  std::string_view rest_;
};

struct Observed {
  size_t most_held = 0;
  Duration longest_turn;
  bool in_time = true;
};

/// Runs the loop handler by handler until `done`, with `flood`, once it has begun, sending between
/// them.
Observed RunFlooded(EventLoop& loop, std::optional<Flood>* flood,
                    const std::function<bool()>& done) {
  const BootTimeSource clock;
  const Time give_up = clock.Now() + kPatience;
  Observed observed;
  const size_t held_before = HeldBytes();
  while (!done() && observed.in_time) {
    if (flood->has_value()) {
      (*flood)->SendSome();
    }
    loop.restart();
    const Duration before = ProcessorTime();
    loop.run_one_for(std::chrono::milliseconds(1));
    observed.longest_turn = std::max(observed.longest_turn, ProcessorTime() - before);
    const size_t held = HeldBytes();
    observed.most_held = std::max(observed.most_held, held - std::min(held, held_before));
    observed.in_time = clock.Now() < give_up;
  }
  return observed;
}

void CheckBounds(const Observed& observed, const std::string& name) {
  BOOST_TEST(observed.in_time, name << ": not over in time");
  BOOST_TEST(observed.most_held <= kMostHeld, name << ": held " << observed.most_held << " bytes");
  BOOST_TEST((observed.longest_turn <= kLongestTurn),
             name << ": one turn took " << absl::FormatDuration(observed.longest_turn));
}

/// A node's own call, an order or a call to the store, whose answer does not end.
void PlayCall(EndlessForm form, Pace pace, const std::string& name) {
  EventLoop loop{1};
  const BootTimeSource clock;
  TestBackend backend{loop};
  HttpClientSettings settings;
  settings.max_held_bytes = kBodyBudget;
  std::string told;
  HttpClient client{loop, clock, settings,
                    [&](const Endpoint&, std::string_view fault) { told = fault; }};
  std::optional<Flood> flood;
  backend.on_request = [&](TestSocket& socket, const std::string&) {
    flood.emplace(&socket, MakeEndless(form, {.status = 200, .headers = {}, .body = "done"}), pace);
  };
  std::optional<CallResult> result;
  // Its bytes alone have to end a fast answer, however slow the machine is.
  CallTiming timing{pace == Pace::kFast ? kPatience : kCallTimeout};
  client.Call(backend.address(), {"GET", "/", {}, ""}, timing,
              [&](const CallResult& got) { result = got; });
  const auto over = [&] { return result.has_value() && backend.connections.at(0)->ended; };
  CheckBounds(RunFlooded(loop, &flood, over), name);
  if (form != EndlessForm::kAfterAnswer && pace == Pace::kFast) {
    BOOST_TEST(told.starts_with("want "), name << ": " << told);
  }
  const bool answered = result.has_value() && result->outcome == CallOutcome::kAnswered;
  BOOST_TEST(answered == (form == EndlessForm::kAfterAnswer), name);
  BOOST_TEST(backend.connections.at(0)->was_reset, name << ": closed without a reset");
}

/// A request that may not be repeated and whose answer does not end, beside one of another caller
/// on another connection.
void PlayRequest(EndlessForm form, Pace pace, const std::string& name) {
  DataPathSettings settings;
  settings.max_held_bytes = kBodyBudget;
  Node node(settings);
  std::optional<Flood> flood;
  node.backend.on_request = [&](TestSocket& socket, const std::string& request) {
    if (HeaderOf(request, "T-Request-Id") != "flooded") {
      socket.Send(AnswerTo(request, "done"));
      return;
    }
    const fleet::Answer answer = {
        .status = 200, .headers = {{"T-Request-Id", "flooded"}, {"T-Stamp", "s"}}, .body = "done"};
    flood.emplace(&socket, MakeEndless(form, answer), pace);
  };
  const auto flooded = node.Connect();
  flooded->Send(Node::Get("flooded", "/order/x", "T-Deadline-Ms: 400\r\n"));
  RunFlooded(node.loop, &flood, [&] { return flood.has_value(); });
  const auto other = node.Connect();
  other->Send(Node::Get("other", "/work/x"));
  std::string answer;
  std::string answer_of_other;
  const auto over = [&] {
    answer += TakeMessage(&flooded->received);
    answer_of_other += TakeMessage(&other->received);
    return !answer.empty() && !answer_of_other.empty() && node.backend.connections.at(0)->ended;
  };
  CheckBounds(RunFlooded(node.loop, &flood, over), name);
  BOOST_TEST(BodyOf(answer_of_other) == "done",
             name << ": the other caller got " << answer_of_other);
  if (form == EndlessForm::kAfterAnswer) {
    BOOST_TEST(BodyOf(answer) == "done", name << ": " << answer);
  } else {
    const bool failed = answer.starts_with("HTTP/1.1 502 ") || answer.starts_with("HTTP/1.1 504 ");
    BOOST_TEST(failed, name << ": " << answer.substr(0, 100));
  }
  BOOST_TEST(node.backend.connections.at(0)->was_reset, name << ": closed without a reset");
}

template <typename Play>
void PlayAll(const Play& play) {
  for (size_t number = 0; number < fleet::kEndlessForms; ++number) {
    const auto form = static_cast<EndlessForm>(number);
    play(form, Pace::kFast, std::string(fleet::NameOf(form)) + ", fast");
    play(form, Pace::kSlow, std::string(fleet::NameOf(form)) + ", slow");
  }
}

BOOST_AUTO_TEST_SUITE(endless_answers)

// Guards against an answer to an order or of the store that is kept for as long as its call lasts.
BOOST_AUTO_TEST_CASE(a_call_holds_little_of_an_answer_without_an_end) { PlayAll(PlayCall); }

// Guards against an answer without an end that takes the memory or the time of other requests.
BOOST_AUTO_TEST_CASE(a_request_holds_little_of_an_answer_without_an_end) { PlayAll(PlayRequest); }

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
