// Back ends that answer an upload before they have read it, while the node is still writing.
//
// The uploads are longer than what the buffers of both sockets hold, so a reset may be reported to
// the node's write instead of to its read.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "support.h"

namespace ladderstream::gateway {
namespace {

constexpr size_t kMebibyte = size_t{1} << 20U;
const std::vector<size_t> kUploads = {8 * kMebibyte, 13 * kMebibyte, 24 * kMebibyte};
const std::vector<std::string> kPaths = {"/order/x", "/work/x"};
constexpr int kPlays = 4;
const std::string kBody = "abc";

/// How a back end ends the connection on which it answered early.
enum class Ending { kReset, kClosedWithBytesUnread, kInOrder, kLeftOpen };

struct EarlyAnswer {
  std::string path = {};
  size_t upload = 0;
  Ending ending = Ending::kReset;
  /// Between the answer and the end of the connection.
  int loop_turns = 0;
  /// Goes on reading the upload after its answer.
  bool reads_on = false;
  std::string fields = {};
  std::string body = kBody;
  /// Another back end is there, and only the first attempt is answered like this.
  bool first_only = false;
};

/// Keeps why the last attempt failed and why the last connection was closed.
struct LastCauses : DataPathObserver {
  void OnAttemptFailed(std::string_view /*request_id*/, std::string_view /*backend*/,
                       forwarding::AttemptFailure failure, std::string_view cause) override {
    was_lost = failure == forwarding::AttemptFailure::kLost;
    attempt = cause;
  }
  void OnConnectionRetired(std::string_view /*backend*/, std::string_view cause) override {
    connection = cause;
  }

  bool was_lost = false;
  std::string attempt;
  std::string connection;
};

class EarlyAnswerPlay {
 public:
  explicit EarlyAnswerPlay(EarlyAnswer early) : early_(std::move(early)) {
    catalog::Limits limits;
    limits.max_body_bytes = 64 * kMebibyte;
    node_.Configure(limits);
    if (early_.first_only) {
      AddBackend();
    }
    caller_ = node_.Connect();
    // Enough answers for the retry budget.
    for (int i = 0; i < kRequestsBefore; ++i) {
      node_.Ask(caller_, "before-" + std::to_string(i));
    }
    requests_before_ = whole_requests();
  }

  /// The answer to the upload.
  std::string Run() {
    caller_->Send("POST " + early_.path +
                  " HTTP/1.1\r\nHost: a.example\r\nT-Request-Id: upload\r\nContent-Length: " +
                  std::to_string(early_.upload) + "\r\n\r\n");
    std::string answer;
    node_.WaitUntil([&] {
      Upload();
      AnswerEarly();
      answer = TakeMessage(&caller_->received);
      return !answer.empty();
    });
    return answer;
  }

  const LastCauses& causes() const { return causes_; }
  size_t early_answers() const { return answered_.size(); }
  /// Those that a back end has read to the end.
  size_t whole_requests() const {
    return node_.backend.requests.size() + other_.requests.size() - requests_before_;
  }
  size_t open_connections() const { return node_.data_path.backend_connection_count(); }

 private:
  static constexpr int kRequestsBefore = 40;

  void Upload() {
    if (uploaded_ < early_.upload) {
      uploaded_ += caller_->SendSome(block_.substr(0, early_.upload - uploaded_));
    }
  }

  void AddBackend() {
    catalog::Backend registered;
    registered.id = "backend-2";
    registered.service = "service";
    registered.address = other_.address();
    registered.slots = 4;
    node_.data_path.ChangeBackends({{registered}, {}}, {});
  }

  void AnswerEarly() {
    AnswerEarly(node_.backend);
    AnswerEarly(other_);
  }

  void AnswerEarly(const TestBackend& backend) {
    for (const TestSocketPtr& backend_end : backend.connections) {
      const auto known = std::find_if(answered_.begin(), answered_.end(),
                                      [&](const Answered& one) { return one.end == backend_end; });
      if (known != answered_.end()) {
        EndConnection(&*known);
      } else if (backend_end->received.find("\r\n\r\n") != std::string::npos &&
                 (!early_.first_only || answered_.empty())) {
        if (!early_.reads_on) {
          backend_end->StopReading();
        }
        backend_end->Send("HTTP/1.1 200 OK\r\nT-Request-Id: upload\r\nT-Stamp: s\r\n" +
                          early_.fields + "\r\n" + early_.body);
        EndConnection(&answered_.emplace_back(Answered{backend_end, early_.loop_turns}));
      }
    }
  }

  struct Answered {
    TestSocketPtr end;
    int turns_left = 0;
  };

  void EndConnection(Answered* answered) const {
    if (answered->turns_left-- != 0) {
      return;
    }
    switch (early_.ending) {
      case Ending::kReset:
        answered->end->Reset();
        break;
      case Ending::kClosedWithBytesUnread:
        answered->end->Close();
        break;
      case Ending::kInOrder:
        answered->end->EndSending();
        break;
      case Ending::kLeftOpen:
        break;
    }
  }

  const EarlyAnswer early_;
  const std::string block_ = std::string(65536, 'b');
  LastCauses causes_;
  Node node_{DataPathSettings(), &causes_};
  TestBackend other_{node_.loop};
  TestSocketPtr caller_;
  size_t requests_before_ = 0;
  size_t uploaded_ = 0;
  std::vector<Answered> answered_;
};

/// Calls `check` with each path, size and moment of the end, several times each.
template <typename Check>
void PlayAll(const EarlyAnswer& base, const Check& check) {
  for (const std::string& path : kPaths) {
    for (const size_t upload : kUploads) {
      for (int play = 0; play < kPlays; ++play) {
        EarlyAnswer early = base;
        early.path = path;
        early.upload = upload;
        early.loop_turns = play;
        EarlyAnswerPlay running(early);
        BOOST_TEST_CONTEXT(path << ", " << upload << " bytes, end after " << play << " turns") {
          check(running);
        }
      }
    }
  }
}

void RequireLost(EarlyAnswerPlay& play) {
  const std::string answer = play.Run();
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer.substr(0, answer.find('\r')));
  BOOST_TEST(play.open_connections() == 0U);
  BOOST_TEST(play.whole_requests() == 0U);
  // The reason in the line of the request and in the counter of closed connections.
  BOOST_TEST(play.causes().was_lost);
  BOOST_TEST(play.causes().connection == play.causes().attempt);
}

void RequireLostToReset(EarlyAnswerPlay& play) {
  RequireLost(play);
  BOOST_TEST(play.causes().attempt.starts_with("reset"), play.causes().attempt);
}

BOOST_AUTO_TEST_SUITE(early_answers)

BOOST_AUTO_TEST_CASE(one_without_a_length_that_is_reset_is_lost) {
  PlayAll({.ending = Ending::kReset}, RequireLostToReset);
}

BOOST_AUTO_TEST_CASE(one_without_a_length_or_body_that_is_reset_is_lost) {
  PlayAll({.ending = Ending::kReset, .body = ""}, RequireLostToReset);
}

BOOST_AUTO_TEST_CASE(one_that_announces_its_close_and_is_reset_is_lost) {
  PlayAll({.ending = Ending::kReset, .fields = "Connection: close\r\n"}, RequireLostToReset);
}

BOOST_AUTO_TEST_CASE(one_without_a_length_that_is_closed_with_bytes_unread_is_lost) {
  PlayAll({.ending = Ending::kClosedWithBytesUnread}, RequireLostToReset);
}

BOOST_AUTO_TEST_CASE(one_without_a_length_that_is_reset_after_more_was_read_is_lost) {
  for (const std::string& path : kPaths) {
    for (const int turns : {1, 2, 3, 5, 8, 20, 50}) {
      EarlyAnswerPlay play({.path = path,
                            .upload = kUploads.back(),
                            .ending = Ending::kReset,
                            .loop_turns = turns,
                            .reads_on = true});
      BOOST_TEST_CONTEXT(path << ", end after " << turns << " turns") { RequireLostToReset(play); }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_request_that_may_not_be_repeated_is_not_sent_again) {
  EarlyAnswerPlay play({.path = "/order/x", .upload = kUploads.back(), .ending = Ending::kReset});
  RequireLostToReset(play);
  BOOST_TEST(play.early_answers() == 1U);
}

BOOST_AUTO_TEST_CASE(a_repeatable_request_is_sent_again) {
  for (int play = 0; play < kPlays; ++play) {
    EarlyAnswerPlay running({.path = "/work/x",
                             .upload = kUploads.back(),
                             .ending = Ending::kReset,
                             .loop_turns = play,
                             .first_only = true});
    BOOST_TEST(BodyOf(running.Run()) == "done");
    BOOST_TEST(running.whole_requests() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(one_without_a_length_that_ends_in_order_is_whole) {
  PlayAll({.ending = Ending::kInOrder}, [](EarlyAnswerPlay& play) {
    BOOST_TEST(BodyOf(play.Run()) == kBody);
    BOOST_TEST(play.open_connections() == 0U);
  });
}

void RequireWhole(EarlyAnswerPlay& play) {
  const std::string answer = play.Run();
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "), answer.substr(0, answer.find('\r')));
  BOOST_TEST(BodyOf(answer) == kBody);
  BOOST_TEST(play.early_answers() == 1U);
  BOOST_TEST(play.open_connections() == 0U);
}

BOOST_AUTO_TEST_CASE(one_with_its_length_is_whole_however_its_connection_ends) {
  for (const Ending ending : {Ending::kReset, Ending::kClosedWithBytesUnread, Ending::kLeftOpen}) {
    PlayAll({.ending = ending, .fields = "Content-Length: 3\r\n"}, RequireWhole);
  }
}

BOOST_AUTO_TEST_CASE(one_with_its_last_chunk_is_whole_however_its_connection_ends) {
  for (const Ending ending : {Ending::kReset, Ending::kClosedWithBytesUnread, Ending::kLeftOpen}) {
    PlayAll({.ending = ending,
             .fields = "Transfer-Encoding: chunked\r\n",
             .body = "3\r\nabc\r\n0\r\n\r\n"},
            RequireWhole);
  }
}

BOOST_AUTO_TEST_CASE(one_that_lacks_its_last_chunk_is_lost) {
  PlayAll({.ending = Ending::kReset,
           .fields = "Transfer-Encoding: chunked\r\n",
           .body = "3\r\nabc\r\n"},
          RequireLost);
}

// The caller's side of the same trouble: nobody is there any more to take the answer.
BOOST_AUTO_TEST_CASE(an_answer_for_a_caller_who_has_reset_harms_no_other) {
  Node node;
  TestSocket* waiting = nullptr;
  node.backend.on_request = [&waiting](TestSocket& socket, const std::string& /*request*/) {
    waiting = &socket;
  };
  const auto caller = node.Connect();
  caller->Send(Node::Get("1", "/order/x"));
  node.WaitUntil([&] { return waiting != nullptr; });
  // The answer is longer than the caller's buffers, so that it is still being written at the reset.
  caller->StopReading();
  const std::string body(16 * kMebibyte, 'a');
  const std::string answer = AnswerTo(node.backend.requests.at(0), body);
  size_t sent = 0;
  const auto other = node.Connect();
  node.WaitUntil([&] {
    sent += waiting->SendSome(std::string_view(answer).substr(sent, 65536));
    return sent == answer.size();
  });
  caller->Reset();
  node.backend.on_request = [](TestSocket& socket, const std::string& request) {
    socket.Send(AnswerTo(request, "done"));
  };
  BOOST_TEST(BodyOf(node.Ask(other, "2", "/order/x")) == "done");
  node.WaitUntil([&] { return node.data_path.requests_in_flight() == 0; });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
