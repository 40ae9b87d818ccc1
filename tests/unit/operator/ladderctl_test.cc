// ladderctl's commands against a node's operator endpoint over gRPC: outcomes, codes, exit codes.
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "daemon/operator/operator_server.h"
#include "fake_platform.h"
#include "operator_cli/commands.h"

namespace ladderstream::operator_cli {
namespace {

using nlohmann::json;

/// The answer of one command line.
struct Answer {
  int exit_code = -1;
  std::string out;
  std::string error;

  json AsJson() const { return json::parse(out); }
};

struct Fixture {
  Fixture() : server(table, control_plane, Endpoint{"127.0.0.1", 0}) {
    options.nodes = {FormatEndpoint(server.endpoint())};
    options.output = OutputFormat::kJson;
    options.operation_id = "first";
    options.expected_revision = 0;
  }

  Answer Run(const std::vector<std::string>& words) {
    std::ostringstream out;
    std::ostringstream error;
    Answer answer;
    answer.exit_code = Commands(options, out, error).Run(words);
    answer.out = out.str();
    answer.error = error.str();
    return answer;
  }

  Answer CreateScripts() {
    options.name = "scripts";
    options.service.key_prefixes = "script/";
    options.service.requests = "read:repeatable:normal:1000,book:once:critical:2000";
    return Run({"create-service"});
  }

  Answer RegisterBackend(const std::string& id, uint64_t expected) {
    options.operation_id = "register-" + id;
    options.expected_revision = expected;
    options.id = id;
    options.backend_options.service = "scripts";
    options.backend_options.zone = "rennes";
    options.backend_options.endpoint = "127.0.0.1:9100";
    return Run({"register-backend"});
  }

  std::shared_ptr<daemon::FakeTable> table = std::make_shared<daemon::FakeTable>();
  std::shared_ptr<daemon::FakeControlPlane> control_plane =
      std::make_shared<daemon::FakeControlPlane>();
  daemon::OperatorServer server;
  Options options;
};

BOOST_FIXTURE_TEST_SUITE(ladderctl, Fixture)

BOOST_AUTO_TEST_CASE(a_service_is_created_and_listed) {
  const Answer created = CreateScripts();
  BOOST_TEST(created.exit_code == kExitOk);
  BOOST_TEST(created.AsJson()["code"] == 0);
  BOOST_TEST(created.AsJson()["revision"] == "1");
  BOOST_TEST(created.AsJson()["operation_id"] == "first");
  const json services = Run({"list-services"}).AsJson()["services"];
  BOOST_TEST_REQUIRE(services.size() == 1U);
  BOOST_TEST(services[0]["range_count"] == 256);
  BOOST_TEST(services[0]["requests"][1]["priority"] == "PRIORITY_CRITICAL");
  BOOST_TEST(services[0]["requests"][1]["repeatable"] == false);
}

BOOST_AUTO_TEST_CASE(a_refusal_gives_code_and_every_fault) {
  options.service.range_count = 3;
  options.service.weights = "1:1:-1";
  const Answer refused = CreateScripts();
  BOOST_TEST(refused.exit_code == kExitRefused);
  const json result = refused.AsJson();
  BOOST_TEST(result["code"] == 4003);
  BOOST_TEST(result["name"] == "INVALID_CONFIGURATION");
  BOOST_TEST(result["faults"].size() == 2U);
  BOOST_TEST(result["field"] == "services[scripts].range_count");
}

BOOST_AUTO_TEST_CASE(a_stale_revision_is_refused_with_the_newest) {
  CreateScripts();
  const Answer refused = RegisterBackend("scripts-1", 0);
  BOOST_TEST(refused.exit_code == kExitRefused);
  BOOST_TEST(refused.AsJson()["code"] == 4001);
  BOOST_TEST(refused.AsJson()["revision"] == "1");
}

BOOST_AUTO_TEST_CASE(a_revision_must_be_said) {
  options.expected_revision.reset();
  const Answer refused = CreateScripts();
  BOOST_TEST(refused.exit_code == kExitUsage);
  options.any_revision = true;
  BOOST_TEST(CreateScripts().exit_code == kExitOk);
}

BOOST_AUTO_TEST_CASE(the_same_operation_twice_has_one_outcome) {
  CreateScripts();
  const Answer again = CreateScripts();
  BOOST_TEST(again.exit_code == kExitOk);
  BOOST_TEST(again.AsJson()["revision"] == "1");
  options.service.range_count = 512;
  BOOST_TEST(CreateScripts().AsJson()["code"] == 4002);
  const Answer operation = Run({"get-operation", "first"});
  BOOST_TEST(operation.exit_code == kExitOk);
  BOOST_TEST(operation.AsJson()["state"] == "OPERATION_STATE_IN_FORCE");
  BOOST_TEST(Run({"get-operation", "other"}).exit_code == kExitRefused);
}

BOOST_AUTO_TEST_CASE(without_the_store_nothing_is_accepted) {
  table->is_down = true;
  options.timeout = absl::Seconds(1);
  const Answer refused = CreateScripts();
  BOOST_TEST(refused.exit_code == kExitRefused);
  BOOST_TEST(refused.AsJson()["code"] == 4006);
  BOOST_TEST(control_plane->commands().empty());
}

BOOST_AUTO_TEST_CASE(without_a_leader_a_change_is_pending) {
  control_plane->has_leader = false;
  options.timeout = absl::Seconds(1);
  const Answer pending = CreateScripts();
  BOOST_TEST(pending.exit_code == kExitPending);
  BOOST_TEST(pending.AsJson()["code"] == 4007);
  BOOST_TEST(Run({"get-operation", "first"}).exit_code == kExitPending);
  control_plane->has_leader = true;
  BOOST_TEST(CreateScripts().AsJson()["revision"] == "1");
}

BOOST_AUTO_TEST_CASE(the_next_node_is_tried) {
  options.nodes.insert(options.nodes.begin(), "127.0.0.1:1");
  BOOST_TEST(CreateScripts().exit_code == kExitOk);
  const Answer status = Run({"status"});
  BOOST_TEST(status.exit_code == kExitOk);
  BOOST_TEST(status.AsJson()[0]["reachable"] == false);
  BOOST_TEST(status.AsJson()[1]["status"]["role"] == "leader");
  BOOST_TEST(status.AsJson()[1]["status"]["revision_in_force"] == "1");
  options.nodes.pop_back();
  BOOST_TEST(Run({"status"}).exit_code == kExitUnreachable);
  BOOST_TEST(CreateScripts().exit_code == kExitUnreachable);
}

BOOST_AUTO_TEST_CASE(draining_goes_to_the_group_alone) {
  CreateScripts();
  RegisterBackend("scripts-1", 1);
  table->is_down = true;
  options.any_revision = true;
  BOOST_TEST(Run({"drain"}).exit_code == kExitOk);
  const std::vector<Command> commands = control_plane->commands();
  BOOST_TEST(std::get<SetDraining>(commands.back()).draining);
  BOOST_TEST(Run({"undrain"}).exit_code == kExitOk);
  BOOST_TEST(!std::get<SetDraining>(control_plane->commands().back()).draining);
  options.id = "none";
  BOOST_TEST(Run({"drain"}).AsJson()["code"] == 4004);
}

BOOST_AUTO_TEST_CASE(a_back_end_that_owns_keys_stays) {
  CreateScripts();
  RegisterBackend("scripts-1", 1);
  Assignment assignment;
  assignment.shard = {ServiceName("scripts"), RangeIndex(0), ""};
  assignment.state = AssignmentState::kOwned;
  assignment.owner = BackendId("scripts-1");
  control_plane->SetAssignment(assignment);
  options.any_revision = true;
  options.operation_id = "remove";
  BOOST_TEST(Run({"remove-backend"}).AsJson()["code"] == 4010);
  const json listed = Run({"list-assignments"}).AsJson();
  BOOST_TEST(listed["assignments"][0]["state"] == "ASSIGNMENT_STATE_OWNED");
  BOOST_TEST(Run({"list-backends"}).AsJson()["backends"][0]["owned_shards"] == 1);
}

BOOST_AUTO_TEST_CASE(an_update_keeps_what_is_not_given) {
  CreateScripts();
  options.service = {};
  options.service.weights = "1:2:9";
  options.expected_revision.reset();
  options.operation_id = "weights";
  BOOST_TEST(Run({"update-service"}).exit_code == kExitOk);
  const json service = Run({"list-services"}).AsJson()["services"][0];
  BOOST_TEST(service["weights"]["unavailable_time"] == 9);
  BOOST_TEST(service["requests"].size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_file_is_applied_once) {
  const auto path = std::filesystem::temp_directory_path() /
                    ("ladderctl-apply-" + std::to_string(getpid()) + ".toml");
  std::ofstream(path) << "[[services]]\n"
                         "name = \"scripts\"\n"
                         "routing = \"by-key\"\n"
                         "key_prefixes = [\"script/\"]\n"
                         "requests = [{name = \"read\", repeatable = true, priority = \"bulk\"}]\n"
                         "[[backends]]\n"
                         "id = \"scripts-1\"\n"
                         "service = \"scripts\"\n"
                         "zone = \"rennes\"\n"
                         "endpoint = \"127.0.0.1:9100\"\n";
  options.expected_revision.reset();
  BOOST_TEST(Run({"apply", path.string()}).exit_code == kExitOk);
  const Answer again = Run({"apply", path.string()});
  BOOST_TEST(again.exit_code == kExitOk);
  BOOST_TEST(again.error.find("0 changes, revision 2") != std::string::npos);
  std::ofstream(path) << "[[services]]\ncolour = \"blue\"\n";
  const Answer refused = Run({"apply", path.string()});
  BOOST_TEST(refused.exit_code == kExitUsage);
  BOOST_TEST(refused.error.find("colour") != std::string::npos);
  std::filesystem::remove(path);
}

BOOST_AUTO_TEST_CASE(tables_are_readable) {
  options.service.weights = "1:2:9";
  CreateScripts();
  options.service.requests = "read:repeatable:bulk:5";
  options.output = OutputFormat::kTable;
  options.operation_id = "second";
  options.expected_revision = 1;
  BOOST_TEST(Run({"update-service"}).out == "0 OK, revision 2, operation second\naccepted\n");
  BOOST_TEST(Run({"list-services"}).out ==
             "SERVICE  ROUTING  KEYS     RANGES  REQUESTS                WEIGHTS\n"
             "scripts  by-key   script/  256     read:repeatable:bulk:5  1:2:9\n");
}

BOOST_AUTO_TEST_CASE(bad_words_are_usage_errors) {
  BOOST_TEST(Run({}).exit_code == kExitUsage);
  BOOST_TEST(Run({"reticulate"}).exit_code == kExitUsage);
  BOOST_TEST(Run({"get-operation"}).exit_code == kExitUsage);
  BOOST_TEST(Run({"status", "more"}).exit_code == kExitUsage);
  options.service.requests = "read:sometimes:normal:1000";
  options.name = "scripts";
  BOOST_TEST(Run({"create-service"}).exit_code == kExitUsage);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::operator_cli
