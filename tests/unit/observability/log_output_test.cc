// Real pipes: what a reader gets, and that a reader who stands still holds up nobody.
#include "observability/log_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <string>

#include "observability/event_log.h"
#include "test_log.h"

namespace ladderstream::observability {
namespace {

class Pipe {
 public:
  Pipe() { BOOST_TEST_REQUIRE(pipe(ends_.data()) == 0); }
  ~Pipe() {
    CloseReader();
    close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int writer() const { return ends_[1]; }

  void CloseReader() {
    if (ends_[0] >= 0) {
      close(ends_[0]);
      ends_[0] = -1;
    }
  }

  /// Everything that has been written; does not wait.
  std::string Read() {
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string bytes;
    std::array<char, 65536> chunk;
    for (ssize_t got = 0; (got = read(ends_[0], chunk.data(), chunk.size())) > 0;) {
      bytes.append(chunk.data(), static_cast<size_t>(got));
    }
    return bytes;
  }

 private:
  std::array<int, 2> ends_ = {-1, -1};
};

EventLogSettings Unlimited() {
  EventLogSettings settings = TestSettings();
  settings.budgets.fill({1e9, 1e9});
  return settings;
}

/// Runs the loop until `done`, for ten seconds at most.
template <typename Done>
void RunUntil(boost::asio::io_context& io, Done done) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!done() && std::chrono::steady_clock::now() < end) {
    io.run_one_until(end);
    io.restart();
  }
  BOOST_TEST_REQUIRE(done());
}

void WriteSome(EventLog& log, int lines) {
  for (int i = 0; i < lines; ++i) {
    log.Write(EventName::kSettingsReloaded,
              {EventField(FieldName::kDetail, std::string(100, 'x'))});
  }
}

BOOST_AUTO_TEST_SUITE(log_output)

BOOST_AUTO_TEST_CASE(lines_reach_the_reader_whole) {
  TestLog test(Unlimited());
  Pipe pipe;
  boost::asio::io_context io;
  const LogOutput output(&io, &test.log, pipe.writer(), {.flush_delay = absl::Milliseconds(1)});
  WriteSome(test.log, 3);
  RunUntil(io, [&test] { return test.log.ring().empty(); });
  const std::string bytes = pipe.Read();
  BOOST_TEST(std::count(bytes.begin(), bytes.end(), '\n') == 3);
  BOOST_TEST(bytes.ends_with('\n'));
}

BOOST_AUTO_TEST_CASE(a_reader_who_stands_still_holds_up_nobody) {
  TestLog test(Unlimited());
  Pipe pipe;
  boost::asio::io_context io;
  LogOutput output(&io, &test.log, pipe.writer(), {.flush_delay = absl::Milliseconds(1)});
  // Far more than the pipe and the ring hold. A write that waits would never return here.
  constexpr int kRounds = 100;
  for (int round = 0; round < kRounds; ++round) {
    WriteSome(test.log, 100);
    output.Flush();
  }
  BOOST_TEST(!output.Flush());
  const uint64_t lost = test.log.budget().TotalOmitted(EventKind::kProcess, OmissionCause::kOutput);
  BOOST_TEST(lost > 0U);
  // The reader wakes up: all that was kept arrives, and so does the count of what was not.
  std::string bytes;
  RunUntil(io, [&] {
    bytes += pipe.Read();
    test.clock.now += absl::Seconds(1);
    return bytes.find("event=lines_omitted") != std::string::npos && test.log.ring().empty();
  });
  bytes += pipe.Read();
  const auto arrived = static_cast<uint64_t>(std::count(bytes.begin(), bytes.end(), '\n'));
  BOOST_TEST(arrived - 1 + lost == static_cast<uint64_t>(kRounds) * 100);
  BOOST_TEST(bytes.find("count=" + std::to_string(lost)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_last_flush_waits_no_longer_than_told) {
  TestLog test(Unlimited());
  Pipe pipe;
  boost::asio::io_context io;
  LogOutput output(&io, &test.log, pipe.writer());
  WriteSome(test.log, 1000);
  // The clock of the log stands still; so does the reader. Only a zero wait can end.
  output.FlushWithin(absl::ZeroDuration());
  BOOST_TEST(!test.log.ring().empty());
}

BOOST_AUTO_TEST_CASE(a_reader_who_has_gone_costs_nothing) {
  const auto before = std::signal(SIGPIPE, SIG_IGN);
  TestLog test(Unlimited());
  Pipe pipe;
  pipe.CloseReader();
  boost::asio::io_context io;
  LogOutput output(&io, &test.log, pipe.writer());
  WriteSome(test.log, 10);
  BOOST_TEST(output.Flush());
  BOOST_TEST(test.log.ring().empty());
  std::signal(SIGPIPE, before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::observability
