#include "observability/node_metrics.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace ladderstream::observability {
namespace {

NodeState TestState() {
  NodeState state;
  state.configuration_version = 12;
  state.map_epoch = 3;
  state.holds_lease = true;
  state.backends = {{"ready", 14}, {"draining", 1}};
  return state;
}

std::string Scrape(NodeMetrics& metrics) {
  const EventBudget budget(EventBudget::Default());
  return metrics.Text(TestState(), budget);
}

size_t CountOf(const std::string& text, const std::string& what) {
  size_t count = 0;
  for (size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) {
    ++count;
  }
  return count;
}

BOOST_AUTO_TEST_SUITE(node_metrics)

BOOST_AUTO_TEST_CASE(requests_are_counted_by_route_outcome_and_code) {
  NodeMetrics metrics;
  metrics.SetRoutes({"scripts"});
  metrics.CountRequest("scripts", RequestOutcome::kAnswered, ResultCode::kOk,
                       absl::Milliseconds(70));
  metrics.CountRequest("scripts", RequestOutcome::kRefused, ResultCode::kNoOwner,
                       absl::Milliseconds(1));
  metrics.CountRequest("scripts", RequestOutcome::kRefused, ResultCode::kNoOwner,
                       absl::Milliseconds(1));
  const std::string text = Scrape(metrics);
  BOOST_TEST(absl::StrContains(text,
                               "ladderstream_requests_total{code=\"NO_OWNER\",outcome=\"refused\","
                               "route=\"scripts\"} 2"),
             text);
  BOOST_TEST(absl::StrContains(text,
                               "ladderstream_request_seconds_bucket{result=\"answered\",route="
                               "\"scripts\",le=\"0.1\"} 1"));
}

BOOST_AUTO_TEST_CASE(labels_are_bounded) {
  NodeMetrics metrics;
  std::vector<std::string> routes;
  routes.reserve(1000);
  for (int i = 0; i < 1000; ++i) {
    routes.push_back(absl::StrCat("route-", i));
  }
  metrics.SetRoutes(routes);
  for (const std::string& route : routes) {
    metrics.CountRequest(route, RequestOutcome::kAnswered, ResultCode::kOk, absl::Milliseconds(1));
    metrics.CountBelief(route);
    metrics.CountCall(route, "done");
    metrics.CountConnection(route);
  }
  const std::string text = Scrape(metrics);
  constexpr size_t kMost = NodeMetrics::kMostLabelValues + 1;
  BOOST_TEST(CountOf(text, "ladderstream_requests_total{") == kMost);
  BOOST_TEST(CountOf(text, "ladderstream_beliefs_total{") == kMost);
  BOOST_TEST(CountOf(text, "ladderstream_calls_total{") == kMost);
  BOOST_TEST(CountOf(text, "ladderstream_backend_connection_events_total{") == kMost);
  BOOST_TEST(absl::StrContains(text, absl::StrCat("route=\"other\"} ", 1000 - (kMost - 1))));
}

BOOST_AUTO_TEST_CASE(a_removed_route_makes_place_for_another) {
  NodeMetrics metrics;
  metrics.SetRoutes({"old", "kept"});
  for (const char* const route : {"old", "kept"}) {
    metrics.CountRequest(route, RequestOutcome::kAnswered, ResultCode::kOk, absl::Milliseconds(1));
  }
  metrics.SetRoutes({"kept", "new"});
  metrics.CountRequest("new", RequestOutcome::kAnswered, ResultCode::kOk, absl::Milliseconds(1));
  const std::string text = Scrape(metrics);
  BOOST_TEST(!absl::StrContains(text, "route=\"old\""));
  BOOST_TEST(absl::StrContains(text, "route=\"kept\"} 1"));
  BOOST_TEST(absl::StrContains(text, "route=\"new\"} 1"));
}

BOOST_AUTO_TEST_CASE(omitted_lines_are_counted_over_scrapes) {
  NodeMetrics metrics;
  EventBudget budget(EventBudget::Default());
  budget.CountOmitted(EventKind::kPeer, OmissionCause::kOutput, 5);
  metrics.Text(TestState(), budget);
  budget.CountOmitted(EventKind::kPeer, OmissionCause::kOutput, 2);
  BOOST_TEST(
      absl::StrContains(metrics.Text(TestState(), budget),
                        "ladderstream_log_lines_omitted_total{cause=\"output\",kind=\"peer\"} 7"));
}

BOOST_AUTO_TEST_CASE(peer_messages_are_counted_over_scrapes) {
  NodeMetrics metrics;
  const EventBudget budget(EventBudget::Default());
  NodeState state = TestState();
  state.peer_messages = {{"report", "other", 2, 300}};
  metrics.Text(state, budget);
  state.peer_messages = {{"report", "other", 5, 700}, {"rows", "own", 1, 90}};
  const std::string text = metrics.Text(state, budget);
  const std::string report = "{message=\"report\",zone=\"other\"} ";
  BOOST_TEST(absl::StrContains(text, absl::StrCat("ladderstream_peer_messages_total", report, 5)));
  BOOST_TEST(absl::StrContains(text, absl::StrCat("ladderstream_peer_bytes_total", report, 700)));
  BOOST_TEST(
      absl::StrContains(text, "ladderstream_peer_bytes_total{message=\"rows\",zone=\"own\"} 90"));
}

BOOST_AUTO_TEST_CASE(store_calls_are_counted_by_kind) {
  NodeMetrics metrics;
  const EventBudget budget(EventBudget::Default());
  NodeState state = TestState();
  state.store_calls = {{"read", 3}, {"watch", 2}};
  metrics.Text(state, budget);
  state.store_calls = {{"read", 3}, {"watch", 7}};
  const std::string text = metrics.Text(state, budget);
  BOOST_TEST(absl::StrContains(text, "ladderstream_store_calls_total{kind=\"watch\"} 7"));
}

/// Every family that a scrape gives is explained on the page, and the page names no other.
BOOST_AUTO_TEST_CASE(the_page_explains_exactly_the_metrics) {
  NodeMetrics metrics;
  std::set<std::string> families;
  std::istringstream text(Scrape(metrics));
  for (std::string line; std::getline(text, line);) {
    std::istringstream words(line);
    std::string mark;
    std::string what;
    std::string name;
    if (words >> mark >> what >> name && mark == "#" && what == "TYPE") {
      families.insert(name);
    }
  }
  // Without any count these have no series, and so do not appear above.
  families.insert({"ladderstream_requests_total", "ladderstream_request_seconds",
                   "ladderstream_calls_total", "ladderstream_beliefs_total",
                   "ladderstream_backend_connection_events_total", "ladderstream_store_calls_total",
                   "ladderstream_peer_messages_total", "ladderstream_peer_bytes_total",
                   "ladderstream_log_lines_omitted_total", "ladderstream_not_understood_total",
                   "ladderstream_losses_total"});
  std::set<std::string> explained;
  std::ifstream page(LADDERSTREAM_SOURCE_DIR "/docs/OPERATIONS.md");
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| `ladderstream_")) {
      explained.insert(line.substr(3, line.find_first_of("`{", 3) - 3));
    }
  }
  BOOST_TEST(explained == families, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::observability
