// What a fleet sends to a back end with a limit: never more than that allows, and most of it used.
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "core/allowance/shared_rates.h"
#include "limit_judge.h"

namespace ladderstream::allowance {
namespace {

const std::string kBackend = "needy";
constexpr Duration kStep = absl::Milliseconds(5);
/// An answer comes so long after its request.
constexpr Duration kServiceTime = absl::Milliseconds(80);
/// A request waits for a permit for so long.
constexpr Duration kPatience = absl::Milliseconds(60);
constexpr Duration kListInterval = absl::Milliseconds(500);

enum class Trouble { kNone, kHalfJoin, kHalfVanish, kIssuersVanish, kPauses, kLostMessages, kFlap };

struct Play {
  size_t nodes = 11;
  double limit = 3.4;
  double asked_per_second = 12;
  /// Callers are at so many of the nodes.
  size_t asking = 11;
  Trouble trouble = Trouble::kNone;
  uint64_t seed = 1;
};

/// Nodes that exchange permits by messages of a few milliseconds; limits are heard by answers only.
class Fleet {
 public:
  explicit Fleet(const Play& play) : play_(play), random_(play.seed), judge_(play.limit) {
    for (size_t i = 0; i < play.nodes; ++i) {
      AddNode();
    }
  }

  void Run() {
    const Time end = kStart + absl::Seconds(22);
    while (now_ < end) {
      now_ += kStep;
      Strike();
      ShareList();
      Deliver();
      Answer();
      Ask();
      Send();
    }
  }

  double MostOver() const { return judge_.MostOver(); }
  double Used() const { return judge_.Used(kStart + absl::Seconds(8), now_); }

 private:
  struct Node {
    explicit Node(uint64_t id) : chosen(id), rates(chosen) {}
    ChosenNodes chosen;
    SharedRates rates;
    bool runs = true;
    Time paused_until = absl::InfinitePast();
    std::deque<Time> waiting;
    size_t known_list = 0;
  };
  struct Wire {
    Time due;
    size_t to = 0;
    size_t from = 0;
    std::optional<PermitQuestion> question;
    std::optional<PermitReply> reply;
  };
  struct AtWork {
    size_t node = 0;
    Time sent;
    Time until;
  };

  void AddNode() {
    nodes_.push_back(std::make_unique<Node>(random_() | 1U));
    ++list_;
  }
  bool Acts(size_t node) const { return nodes_[node]->runs && now_ >= nodes_[node]->paused_until; }

  void Strike() {
    if (std::exchange(struck_, now_ >= kStart + absl::Seconds(11)) == struck_) {
      Disturb();
      return;
    }
    const size_t half = play_.nodes / 2;
    if (play_.trouble == Trouble::kHalfJoin) {
      for (size_t i = 0; i < half; ++i) {
        AddNode();
      }
    }
    if (play_.trouble == Trouble::kHalfVanish) {
      for (size_t i = 0; i < half; ++i) {
        Kill(i);
      }
    }
    if (play_.trouble == Trouble::kIssuersVanish) {
      for (size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i]->chosen.MayAct(kBackend, kIssuers, now_)) {
          Kill(i);
        }
      }
    }
  }
  void Disturb() {
    if (play_.trouble == Trouble::kPauses && random_() % 100 == 0) {
      nodes_[random_() % nodes_.size()]->paused_until =
          now_ + absl::Milliseconds(50 + random_() % 3000);
    }
    if (play_.trouble == Trouble::kFlap && random_() % 60 == 0) {
      AddNode();
      const size_t gone = random_() % nodes_.size();
      if (gone > 2) {
        Kill(gone);
      }
    }
  }
  void Kill(size_t node) {
    nodes_[node]->runs = false;
    nodes_[node]->waiting.clear();
    vanished_at_[node] = now_;
  }

  /// Those that vanished leave the list after three seconds.
  void ShareList() {
    if (now_ < next_list_) {
      return;
    }
    next_list_ = now_ + kListInterval;
    std::vector<uint64_t> members;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i]->runs || now_ < vanished_at_[i] + absl::Seconds(3)) {
        members.push_back(nodes_[i]->chosen.self());
      }
    }
    if (members != published_) {
      published_ = members;
      ++list_;
    }
    for (size_t i = 0; i < nodes_.size(); ++i) {
      const bool lost = play_.trouble == Trouble::kLostMessages && random_() % 3 == 0;
      if (Acts(i) && !lost) {
        if (std::exchange(nodes_[i]->known_list, list_) != list_) {
          nodes_[i]->chosen.SetMembers(published_, now_);
        }
        nodes_[i]->chosen.SetConfirmed(now_ + ChosenNodes::kListLifetime);
      }
    }
  }

  void Deliver() {
    std::vector<Wire> due;
    std::erase_if(wires_, [&](const Wire& wire) {
      const bool taken = wire.due <= now_ && (Acts(wire.to) || !nodes_[wire.to]->runs);
      if (taken && nodes_[wire.to]->runs) {
        due.push_back(wire);
      }
      return taken;
    });
    for (const Wire& wire : due) {
      if (wire.question.has_value()) {
        Put({{}, wire.from, wire.to, {}, nodes_[wire.to]->rates.Answer(*wire.question, now_)});
      } else {
        nodes_[wire.to]->rates.OnReply(*wire.reply, now_);
      }
    }
  }
  void Put(Wire wire) {
    const bool troubled = play_.trouble == Trouble::kLostMessages;
    if (troubled && random_() % 4 == 0) {
      return;
    }
    wire.due = now_ + absl::Milliseconds(1 + random_() % (troubled ? 1500 : 4));
    if (troubled && random_() % 4 == 0) {
      wires_.push_back(wire);
    }
    wires_.push_back(std::move(wire));
  }

  void Answer() {
    while (!at_work_.empty() && at_work_.front().until <= now_) {
      const AtWork done = at_work_.front();
      at_work_.pop_front();
      if (nodes_[done.node]->runs) {
        nodes_[done.node]->rates.limits().OnAnswer(kBackend, {play_.limit, false}, done.sent, now_);
        judge_.OnTold(done.node, now_);
      }
    }
  }

  void Ask() {
    std::poisson_distribution<int> asked(play_.asked_per_second * absl::ToDoubleSeconds(kStep));
    for (int i = asked(random_); i > 0; --i) {
      const size_t node = random_() % std::min(play_.asking, nodes_.size());
      if (Acts(node)) {
        nodes_[node]->waiting.push_back(now_);
      }
    }
  }

  void Send() {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Node& node = *nodes_[i];
      if (!Acts(i)) {
        continue;
      }
      while (!node.waiting.empty()) {
        if (!node.rates.Allows(kBackend, now_) && !node.rates.Ask(kBackend, now_)) {
          break;
        }
        node.waiting.pop_front();
        node.rates.Use(kBackend, now_);
        judge_.OnArrival(i, now_);
        at_work_.push_back({i, now_, now_ + kServiceTime});
      }
      while (!node.waiting.empty() && node.waiting.front() + kPatience < now_) {
        node.waiting.pop_front();
      }
      for (const PermitQuestion& question : node.rates.TakeQuestions()) {
        for (size_t to = 0; to < nodes_.size(); ++to) {
          if (nodes_[to]->chosen.self() == question.to) {
            Put({{}, to, i, question, {}});
          }
        }
      }
    }
  }

  static constexpr Time kStart = absl::UnixEpoch();

  const Play play_;
  std::mt19937_64 random_;
  LimitJudge judge_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<uint64_t> published_;
  std::map<size_t, Time> vanished_at_;
  size_t list_ = 1;
  Time next_list_ = kStart;
  bool struck_ = false;
  std::vector<Wire> wires_;
  std::deque<AtWork> at_work_;
  Time now_ = kStart;
};

struct Outcome {
  double over = 0;
  double used = 1e9;
};

Outcome PlaySeeds(Play play, uint64_t seeds) {
  Outcome outcome;
  for (play.seed = 1; play.seed <= seeds; ++play.seed) {
    Fleet fleet(play);
    fleet.Run();
    outcome.over = std::max(outcome.over, fleet.MostOver());
    outcome.used = std::min(outcome.used, fleet.Used());
  }
  BOOST_TEST_MESSAGE(play.nodes << " nodes, limit " << play.limit << ", trouble "
                                << static_cast<int>(play.trouble) << ": over " << outcome.over
                                << ", used " << outcome.used);
  return outcome;
}

BOOST_AUTO_TEST_SUITE(permits)

BOOST_AUTO_TEST_CASE(the_limit_is_kept_and_used_by_few_nodes_and_by_many) {
  for (const size_t nodes : {1U, 2U, 11U, 70U, 300U}) {
    for (const double limit : {0.3, 3.4, 20.0}) {
      Play play;
      play.nodes = nodes;
      play.asking = nodes;
      play.limit = limit;
      play.asked_per_second = 4 * limit;
      const Outcome outcome = PlaySeeds(play, nodes > 100 ? 1 : 5);
      BOOST_TEST(outcome.over <= 1);
      BOOST_TEST(outcome.used >= (limit < 1 ? 0.5 : 0.7));
    }
  }
}

BOOST_AUTO_TEST_CASE(callers_at_a_tenth_of_the_nodes_use_it_too) {
  Play play;
  play.nodes = 70;
  play.asking = 7;
  BOOST_TEST(PlaySeeds(play, 5).used >= 0.7);
}

BOOST_AUTO_TEST_CASE(whatever_becomes_of_nodes_and_messages_the_limit_is_kept) {
  for (const Trouble trouble : {Trouble::kHalfJoin, Trouble::kHalfVanish, Trouble::kIssuersVanish,
                                Trouble::kPauses, Trouble::kLostMessages, Trouble::kFlap}) {
    for (const double limit : {0.3, 3.4, 50.0}) {
      Play play;
      play.limit = limit;
      play.asked_per_second = 4 * limit;
      play.trouble = trouble;
      BOOST_TEST(PlaySeeds(play, 20).over <= 1);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::allowance
