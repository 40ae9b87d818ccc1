// What is held must outlive all nodes, and is tried again by one of them at a time.
#include "core/quarantine/suspect_store.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace ladderstream::quarantine {
namespace {

constexpr Fingerprint kGuilty{1, 1};
/// The store's clock is that of another machine.
constexpr Duration kClockAhead = absl::Hours(7);

/// The rows of a store, with conditional writes.
class Rows {
 public:
  store::StoreReply Call(const SuspectStore::Call& call, Time now) {
    store::StoreReply reply;
    reply.status = store::StoreStatus::kDone;
    reply.clock = now - absl::UnixEpoch() + kClockAhead;
    if (const auto* write = std::get_if<store::Transaction>(&call.query)) {
      Apply(*write, &reply);
    } else {
      for (const auto& [key, row] : rows_) {
        reply.rows.push_back(row);
      }
    }
    return reply;
  }
  size_t count() const { return rows_.size(); }

 private:
  void Apply(const store::Transaction& write, store::StoreReply* reply) {
    for (const auto& condition : write.conditions) {
      const auto row = rows_.find(condition.key.key);
      if ((row == rows_.end() ? 0 : row->second.version) != condition.version) {
        reply->status = store::StoreStatus::kConflict;
      }
      if (row != rows_.end()) {
        reply->rows.push_back(row->second);
      }
    }
    if (reply->status == store::StoreStatus::kConflict) {
      return;
    }
    reply->rows.clear();
    reply->version = ++version_;
    for (const auto& put : write.puts) {
      rows_[put.key.key] = {put.key, put.value, version_};
    }
    for (const auto& removal : write.removals) {
      rows_.erase(removal.key);
    }
  }

  std::map<std::string, store::Row> rows_;
  store::RowVersion version_ = 0;
};

struct Fixture {
  /// Makes the calls that are due, at most for so long.
  void Run(SuspectStore* node, Duration time = absl::Seconds(3)) {
    for (const Time end = now + time; now < end; now += absl::Milliseconds(50)) {
      if (const auto call = node->Poll(now)) {
        node->OnReply(call->call, is_away ? store::StoreReply() : rows.Call(*call, now), now);
      }
    }
  }
  SuspectRecord Record(size_t crashes) const {
    SuspectRecord record = EmptyRecord(kGuilty);
    for (size_t i = 0; i < crashes; ++i) {
      record.losses.push_back(
          {"b-" + std::to_string(i), now - absl::Seconds(9 - static_cast<int>(i))});
    }
    return record;
  }

  Time now = absl::FromUnixSeconds(1000);
  Rows rows;
  bool is_away = false;
  SuspectStore one{{}};
  SuspectStore other{{}};
};

BOOST_FIXTURE_TEST_SUITE(suspect_store, Fixture)

BOOST_AUTO_TEST_CASE(record_outlives_the_node_that_wrote_it) {
  const SuspectRecord written = Record(3);
  one.Save(written);
  Run(&one);
  // Another node, whose clock began elsewhere.
  now += absl::Hours(2);
  const Duration moved = absl::Hours(2) + absl::Seconds(3);
  Run(&other);
  const std::vector<SuspectRecord> heard = other.TakeHeard();
  BOOST_TEST(other.IsKnown());
  // Two hours later it is forgotten.
  BOOST_TEST(heard.empty());
  now -= moved;
  SuspectStore third{{}};
  Run(&third);
  const std::vector<SuspectRecord> read = third.TakeHeard();
  BOOST_TEST_REQUIRE(read.size() == 1U);
  BOOST_TEST((read.front().request == kGuilty));
  BOOST_TEST((read.front().losses == written.losses));
}

BOOST_AUTO_TEST_CASE(writes_wait_while_the_store_is_away) {
  Run(&one);
  is_away = true;
  one.Save(Record(3));
  Run(&one);
  BOOST_TEST(rows.count() == 0U);
  is_away = false;
  Run(&one);
  BOOST_TEST(rows.count() == 1U);
  Run(&one);
  BOOST_TEST(!one.Poll(now).has_value());
}

BOOST_AUTO_TEST_CASE(concurrent_writers_merge) {
  Run(&one);
  Run(&other);
  one.Save(Record(2));
  Run(&one);
  SuspectRecord second = EmptyRecord(kGuilty);
  second.losses.push_back({"c-1", now});
  other.Save(second);
  Run(&other);
  SuspectStore third{{}};
  Run(&third);
  const std::vector<SuspectRecord> heard = third.TakeHeard();
  BOOST_TEST_REQUIRE(heard.size() == 1U);
  BOOST_TEST(heard.front().CountCrashes() == 3U);
}

BOOST_AUTO_TEST_CASE(one_node_at_a_time_gets_a_trial) {
  one.Save(Record(3));
  Run(&one);
  Run(&other);
  one.WantTrial(Record(3), now);
  other.WantTrial(Record(3), now);
  Run(&one);
  Run(&other);
  BOOST_TEST(one.TakeGrantedTrials().size() + other.TakeGrantedTrials().size() == 1U);
  // The other one has heard that it is being tried.
  const std::vector<SuspectRecord> heard = other.TakeHeard();
  BOOST_TEST_REQUIRE(!heard.empty());
  BOOST_TEST(heard.back().trials == 1U);
  BOOST_TEST((heard.back().HeldUntil() > now + absl::Seconds(10)));
}

// Guards against an innocent request that is tried at a back end while the guilty one crashes it.
BOOST_AUTO_TEST_CASE(held_requests_are_tried_one_after_the_other) {
  const Fingerprint second{5, 5};
  SuspectRecord other_record = Record(3);
  other_record.request = second;
  one.Save(Record(3));
  one.Save(other_record);
  Run(&one);
  Run(&other);
  one.WantTrial(Record(3), now);
  other.WantTrial(other_record, now);
  Run(&one, absl::Milliseconds(500));
  Run(&other, absl::Milliseconds(500));
  BOOST_TEST(one.TakeGrantedTrials().size() == 1U);
  BOOST_TEST(other.TakeGrantedTrials().empty());
  // The first one was served.
  one.Save(EmptyRecord(kGuilty));
  Run(&one, absl::Milliseconds(100));
  Run(&other);
  other.WantTrial(other_record, now);
  Run(&other);
  const std::vector<Fingerprint> granted = other.TakeGrantedTrials();
  BOOST_TEST_REQUIRE(granted.size() == 1U);
  BOOST_TEST((granted.front() == second));
}

BOOST_AUTO_TEST_CASE(cleared_request_leaves_no_row) {
  one.Save(Record(2));
  Run(&one);
  BOOST_TEST(rows.count() == 1U);
  one.Save(EmptyRecord(kGuilty));
  Run(&one);
  BOOST_TEST(rows.count() == 0U);
}

BOOST_AUTO_TEST_CASE(node_serves_after_a_while_without_the_store) {
  is_away = true;
  one.BeginWait(now);
  Run(&one, absl::Seconds(4));
  BOOST_TEST(!one.IsKnown());
  Run(&one, absl::Seconds(2));
  BOOST_TEST(one.IsKnown());
  BOOST_TEST(!one.IsComplete());
}

// Guards against nodes that wait out an outage of the store and then serve what it holds.
BOOST_AUTO_TEST_CASE(node_that_could_not_serve_anyway_reads_the_store_first) {
  is_away = true;
  Run(&one, absl::Seconds(10));
  BOOST_TEST(!one.IsKnown());
  is_away = false;
  Run(&one);
  BOOST_TEST(one.IsComplete());
}

// Guards against losses that nobody but the nodes that are killed together had seen.
BOOST_AUTO_TEST_CASE(witnessed_losses_outlive_the_process_and_are_inherited) {
  SuspectRecord seen = Record(1);
  seen.losses.push_back({"b-9", now, LossState::kOpen});
  one.SaveWitnessed({seen});
  Run(&one);
  SuspectStore successor{{}};
  Run(&successor);
  const std::vector<SuspectRecord> heard = successor.TakeHeard();
  BOOST_TEST_REQUIRE(heard.size() == 1U);
  BOOST_TEST((heard.front().losses == seen.losses));
  BOOST_TEST(successor.TakeInherited().size() == 1U);
  SuspectStoreSettings elsewhere;
  elsewhere.node = "another";
  SuspectStore another(elsewhere);
  Run(&another);
  BOOST_TEST(another.TakeHeard().size() == 1U);
  BOOST_TEST(another.TakeInherited().empty());
  // Nothing of it counts any more.
  successor.SaveWitnessed({});
  Run(&successor);
  BOOST_TEST(rows.count() == 0U);
}

BOOST_AUTO_TEST_CASE(witnessed_losses_are_written_at_intervals) {
  Run(&one);
  size_t writes = 0;
  for (int i = 0; i < 20; ++i) {
    SuspectRecord seen = Record(1);
    seen.losses.front().at = now;
    one.SaveWitnessed({seen});
    if (const auto call = one.Poll(now)) {
      ++writes;
      one.OnReply(call->call, rows.Call(*call, now), now);
    }
    now += absl::Milliseconds(50);
  }
  BOOST_TEST(writes == 2U);
}

BOOST_AUTO_TEST_CASE(node_that_was_told_calls_the_store_only_to_write) {
  one.OnVouched();
  BOOST_TEST(one.IsKnown());
  BOOST_TEST(!one.Poll(now).has_value());
  BOOST_TEST((one.NextWake() == absl::InfiniteFuture()));
  one.Save(Record(2));
  Run(&one);
  BOOST_TEST(rows.count() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::quarantine
