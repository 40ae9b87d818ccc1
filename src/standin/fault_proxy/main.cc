// standin_fault_proxy: a network that fails on demand, for tests.
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <vector>

#include "standin/fault_proxy/control_server.h"
#include "standin/support/program_flags.h"
#include "standin/support/signals.h"

DEFINE_string(control, "127.0.0.1:0", "where faults are steered (port 0: any)");
DEFINE_string(links, "", "links of the form NAME=IP:PORT/IP:PORT (listen/target), with commas");

namespace ladderstream::standin {
namespace {

LinkSettings ReadLink(const std::string& text, FlagChecks& checks) {
  const std::vector<std::string> name_and_route = absl::StrSplit(text, absl::MaxSplits('=', 1));
  const std::vector<std::string> route = absl::StrSplit(name_and_route.back(), '/');
  if (name_and_route.size() != 2 || route.size() != 2) {
    checks.Require(false, "links", text, "NAME=IP:PORT/IP:PORT");
    return {};
  }
  return {name_and_route.front(), checks.RequireEndpoint("links", route[0], /*any_port=*/true),
          checks.RequireEndpoint("links", route[1], /*any_port=*/false)};
}

int Run() {
  const StopSignals signals;
  FlagChecks checks;
  const Endpoint control = checks.RequireEndpoint("control", FLAGS_control, /*any_port=*/true);
  const std::vector<std::string> texts = absl::StrSplit(FLAGS_links, ',', absl::SkipEmpty());
  std::vector<LinkSettings> links;
  links.reserve(texts.size());
  for (const std::string& text : texts) {
    links.push_back(ReadLink(text, checks));
  }
  checks.ExitOnFaults();
  FaultProxy proxy;
  for (const LinkSettings& link : links) {
    std::cout << "listening " << link.name << " " << FormatEndpoint(proxy.AddLink(link)) << "\n";
  }
  const ControlServer server(control, &proxy);
  std::cout << "listening control " << FormatEndpoint(server.endpoint()) << std::endl;
  signals.Wait();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace ladderstream::standin

int main(int argc, char** argv) {
  ladderstream::standin::ParseProgramFlags("A TCP proxy that injects faults.", argc, argv);
  return ladderstream::standin::RunProgram(ladderstream::standin::Run);
}
