#include "rig.h"

#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "standin/fleet/http_client.h"
#include "standin/fleet/report.h"
#include "standin/fleet/wire_names.h"
#include "standin/processes/ports.h"

namespace ladderstream::fleet {
namespace {

constexpr Duration kPatience = absl::Seconds(1);
constexpr char kProgram[] = LADDERSTREAM_BINARY_DIR "/ladderstream_node";

FleetSettings Settings() {
  FleetSettings settings = SmallDeployment().fleet;
  settings.store.entrances = EntrancesFor(kNodes + kOperatorEntrances);
  return settings;
}

}  // namespace

Rig::Rig(PeerLinks links) : fleet_(Settings()), nodes_(&fleet_, kProgram, kNodes) {
  std::signal(SIGPIPE, SIG_IGN);
  if (links == PeerLinks::kProxied) {
    StartProxies();
  }
  nodes_.StartAll();
  if (!nodes_.AwaitReady(absl::Seconds(20))) {
    throw std::runtime_error("the nodes did not come up");
  }
  for (const RequestClass& request_class : SmallDeployment().load) {
    fleet_.callers().Start(request_class);
  }
  Serve(50);
}

void Rig::StartProxies() {
  proxy_ = std::make_unique<standin::FaultProxy>();
  for (size_t node = 0; node < nodes_.count(); ++node) {
    const standin::LinkSettings link = {.name = nodes_.nodes()[node].name,
                                        .listen = standin::FreeEndpoint(),
                                        .target = nodes_.nodes()[node].peers};
    nodes_.AdvertisePeers(node, proxy_->AddLink(link));
  }
}

void Rig::SetPeerFaults(size_t node, const standin::LinkFaults& faults) {
  proxy_->SetFaults(nodes_.nodes().at(node).name, "", faults);
}

void Rig::SetPeerFaults(const standin::LinkFaults& faults) { proxy_->SetFaults("", "", faults); }

void Rig::Await(const std::string& what, const std::function<bool()>& condition, Duration timeout) {
  if (!fleet_.loop().RunUntil(condition, timeout)) {
    throw std::runtime_error(absl::StrCat("waited in vain for ", what));
  }
}

void Rig::Serve(uint64_t calls) {
  const uint64_t enough = fleet_.callers().served() + calls;
  Await("calls to be served", [&] { return fleet_.callers().served() >= enough; });
}

void Rig::AwaitLog(size_t node, const std::string& text) {
  const auto path = nodes_.group().directory() / absl::StrCat(nodes_.nodes()[node].name, ".log");
  Await(text, [&] {
    std::ostringstream log;
    log << std::ifstream(path).rdbuf();
    return log.str().find(text) != std::string::npos;
  });
}

size_t Rig::Coordinator() {
  Await("a coordinator", [this] { return fleet_.store().last_conditional_writer().has_value(); });
  return fleet_.store().last_conditional_writer().value();
}

void Rig::AwaitCoordinatorOtherThan(size_t node) {
  Await("another coordinator", [&] { return Coordinator() != node; });
}

void Rig::AwaitKeysLeave(const Backend& backend) {
  Await("other owners", [&] {
    for (const Backend* other : fleet_.backends(backend.service())) {
      if (other == &backend && other->HoldsAnyKey()) {
        return false;
      }
    }
    return fleet_.AllKeysHeld();
  });
}

Backend& Rig::OwnerOfHotKey() {
  Backend* owner = nullptr;
  Await("an owner", [&] {
    owner = fleet_.OwnerOf(kScripts, kHotKey);
    return owner != nullptr;
  });
  return *owner;
}

int Rig::StatusAt(size_t node, const std::string& host, const std::string& path) {
  const interfaces::HttpRequest request = {
      .method = "GET",
      .target = path,
      .headers = {{"Host", host}, {wire::kRequestId, "rig"}, {wire::kDeadlineMs, "300"}},
      .body = ""};
  std::optional<CallResult> result;
  const auto connection =
      HttpClientConnection::Make(&fleet_.loop(), nodes_.nodes().at(node).address.front);
  connection->Call(request, kPatience, kPatience, [&](const CallResult& one) { result = one; });
  Await("an answer", [&] { return result.has_value(); });
  connection->Close();
  return result->end == CallEnd::kAnswered ? result->response.status : -1;
}

void Rig::SetFaults(const std::string& service, const BackendFaults& faults) {
  for (Backend* backend : fleet_.backends(service)) {
    backend->SetFaults(faults);
  }
}

Verdict Rig::Finish(double least_served) {
  fleet_.FinishCalls();
  Verdict verdict = fleet_.Judge();
  BOOST_TEST_MESSAGE(ResultLine(verdict));
  BOOST_TEST(verdict.IsClean(), VerdictTable(verdict));
  const double share = static_cast<double>(verdict.served) /
                       static_cast<double>(std::max<uint64_t>(verdict.calls, 1));
  BOOST_TEST(share >= least_served, "served " << share << ", wanted " << least_served << "\n"
                                              << ResultLine(verdict) << "\n"
                                              << VerdictTable(verdict));
  return verdict;
}

}  // namespace ladderstream::fleet
