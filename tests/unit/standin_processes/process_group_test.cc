#include "standin/processes/process_group.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <set>

#include "standin/processes/ports.h"
#include "wire/result_code.h"

namespace ladderstream::standin {
namespace {

constexpr absl::Duration kPatience = absl::Seconds(10);

ProcessSpec Shell(const std::string& name, const std::string& script) {
  return ProcessSpec{.name = name, .program = "/bin/sh", .arguments = {"-c", script}};
}

bool Exists(pid_t id) { return kill(id, 0) == 0; }

BOOST_AUTO_TEST_SUITE(process_group)

BOOST_AUTO_TEST_CASE(reports_exit_codes_and_output) {
  ProcessGroup group;
  group.Start(Shell("three", "echo out; echo error >&2; exit 3"));
  const auto exit = group.WaitForExit("three", kPatience);
  BOOST_REQUIRE(exit.has_value());
  BOOST_TEST(exit->code.value() == 3);
  BOOST_TEST(group.ReadLog("three") == "out\nerror\n");
  BOOST_TEST(!group.IsRunning("three"));
}

BOOST_AUTO_TEST_CASE(reports_the_signal_that_ended_a_process) {
  ProcessGroup group;
  group.Start(Shell("sleeper", "exec sleep 600"));
  BOOST_TEST(group.IsRunning("sleeper"));
  group.Kill("sleeper");
  const auto exit = group.WaitForExit("sleeper", kPatience);
  BOOST_REQUIRE(exit.has_value());
  BOOST_TEST(exit->signal == SIGKILL);
  BOOST_TEST(!exit->code.has_value());
}

BOOST_AUTO_TEST_CASE(starts_an_ended_process_again_but_never_twice) {
  ProcessGroup group;
  group.Start(Shell("sleeper", "exec sleep 600"));
  BOOST_CHECK_THROW(group.Restart("sleeper"), Error);
  group.Kill("sleeper");
  group.Restart("sleeper");
  BOOST_TEST(group.IsRunning("sleeper"));
}

BOOST_AUTO_TEST_CASE(ends_everything_with_the_group) {
  std::vector<pid_t> ids;
  std::filesystem::path directory;
  {
    ProcessGroup group;
    directory = group.directory();
    group.WriteFile("settings.toml", "a = 1\n");
    ids.push_back(group.Start(Shell("running", "exec sleep 600")));
    ids.push_back(group.Start(Shell("stopped", "exec sleep 600")));
    group.Signal("stopped", SIGSTOP);
  }
  for (const pid_t id : ids) {
    BOOST_TEST(!Exists(id));
  }
  BOOST_TEST(!std::filesystem::exists(directory));
}

BOOST_AUTO_TEST_CASE(names_those_that_did_not_heed_the_stop) {
  ProcessGroup group;
  group.Start(Shell("deaf", "trap '' TERM; echo ready; while :; do sleep 0.05; done"));
  group.Start(Shell("frozen", "exec sleep 600"));
  group.Signal("frozen", SIGSTOP);
  BOOST_REQUIRE(WaitUntil([&] { return group.ReadLog("deaf") == "ready\n"; }, kPatience));
  const std::vector<std::string> killed = group.StopAll(absl::Milliseconds(300));
  BOOST_TEST(killed == std::vector<std::string>{"deaf"}, boost::test_tools::per_element());
  BOOST_TEST(group.Running().empty());
}

BOOST_AUTO_TEST_CASE(refuses_what_it_cannot_run) {
  ProcessGroup group;
  BOOST_CHECK_THROW(group.Start({.name = "none", .program = "/nonexistent", .arguments = {}}),
                    Error);
  BOOST_CHECK_THROW(group.Signal("none", SIGTERM), Error);
}

BOOST_AUTO_TEST_CASE(gives_each_port_once) {
  constexpr int kCount = 200;
  std::set<uint16_t> ports;
  for (int i = 0; i < kCount; ++i) {
    ports.insert(FreePort());
  }
  BOOST_TEST(ports.size() == kCount);
}

BOOST_AUTO_TEST_CASE(keeps_a_port_from_other_processes_that_look_for_one) {
  const uint16_t port = FreePort();
  // Another process takes a port only if it can bind its UDP side.
  const int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  BOOST_TEST(bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0);
  close(descriptor);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::standin
