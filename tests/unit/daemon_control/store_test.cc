#include <httplib.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "daemon/store/http_table_client.h"
#include "daemon/store/machine_list.h"
#include "daemon/store/table_json.h"

namespace ladderstream::store {
namespace {

using authority::StoreStatus;
using authority::StoreTransaction;

/// A table service whose one answer the test sets.
class ScriptedService {
 public:
  explicit ScriptedService(httplib::Server::Handler handler) {
    server_.Post("/v1/transaction", std::move(handler));
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }
  ~ScriptedService() {
    server_.stop();
    thread_.join();
  }

  TableClientSettings settings() const {
    TableClientSettings settings;
    settings.endpoint = Endpoint{"127.0.0.1", static_cast<uint16_t>(port_)};
    settings.timeout = absl::Milliseconds(200);
    return settings;
  }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

StoreTransaction ReadOfTwo() {
  StoreTransaction transaction;
  transaction.reads = {"a", "b"};
  return transaction;
}

StoreStatus StatusFor(int http_status, const std::string& body) {
  const ScriptedService service([&](const httplib::Request&, httplib::Response& response) {
    response.status = http_status;
    response.set_content(body, "application/json");
  });
  return HttpTableClient(service.settings()).Run(ReadOfTwo()).status;
}

BOOST_AUTO_TEST_SUITE(store_suite)

BOOST_AUTO_TEST_CASE(TransactionIsWrittenAsTheProtocolSays) {
  StoreTransaction transaction;
  transaction.reads = {"r"};
  transaction.conditions = {{"c", 3}};
  transaction.writes = {{"w", std::string("\0\xff", 2)}};
  BOOST_TEST(FormatTransaction(transaction) ==
             R"({"conditions":[{"key":"c","version":"3"}],"reads":["r"],)"
             R"("writes":[{"key":"w","value":"AP8="}]})");
}

BOOST_AUTO_TEST_CASE(RowsComeInTheOrderAskedFor) {
  const TableResult result = ParseTransactionAnswer(
      ReadOfTwo(), R"({"committed":true,"rows":[{"key":"b","version":"2","value":"AP8="},
                                                {"key":"a","version":"0","value":""}]})");
  BOOST_TEST((result.status == StoreStatus::kCommitted));
  BOOST_REQUIRE(result.rows.size() == 2U);
  BOOST_TEST(result.rows.front().key == "a");
  BOOST_TEST(result.rows.front().version == 0U);
  BOOST_TEST(result.rows.back().value == std::string("\0\xff", 2));
}

BOOST_AUTO_TEST_CASE(EachAnswerHasItsExactStatus) {
  const std::string rows = R"("rows":[{"key":"a","version":"0","value":""},)"
                           R"({"key":"b","version":"0","value":""}]})";
  BOOST_TEST((StatusFor(200, R"({"committed":true,)" + rows) == StoreStatus::kCommitted));
  BOOST_TEST((StatusFor(200, R"({"committed":false,)" + rows) == StoreStatus::kConflict));
  BOOST_TEST((StatusFor(429, "") == StoreStatus::kRefused));
  BOOST_TEST((StatusFor(500, "") == StoreStatus::kUnknown));
  BOOST_TEST((StatusFor(200, "garbage") == StoreStatus::kUnknown));
  BOOST_TEST((StatusFor(200, R"({"committed":true,"rows":[]})") == StoreStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(NobodyListeningIsARefusal) {
  TableClientSettings settings;
  {
    const ScriptedService service([](const httplib::Request&, httplib::Response&) {});
    settings = service.settings();
  }
  BOOST_TEST((HttpTableClient(settings).Run(ReadOfTwo()).status == StoreStatus::kRefused));
}

BOOST_AUTO_TEST_CASE(SilenceAfterSendingIsUnknown) {
  const ScriptedService service([](const httplib::Request&, httplib::Response&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
  });
  BOOST_TEST(
      (HttpTableClient(service.settings()).Run(ReadOfTwo()).status == StoreStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(OwnRateLimitRefusesWithoutSending) {
  int calls = 0;
  const ScriptedService service([&calls](const httplib::Request&, httplib::Response& response) {
    ++calls;
    response.status = 500;
  });
  TableClientSettings settings = service.settings();
  settings.max_requests_per_second = 0.001;
  HttpTableClient client(settings);
  BOOST_TEST((client.Run(ReadOfTwo()).status == StoreStatus::kUnknown));
  BOOST_TEST((client.Run(ReadOfTwo()).status == StoreStatus::kRefused));
  BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(MachineListGivesLiveMachinesAndSkipsMalformedOnes) {
  NodeDescriptor node;
  node.id = NodeId(UINT64_MAX);
  node.name = "rennes-1";
  node.region = "bretagne";
  node.zone = "rennes";
  node.peer = Endpoint{"127.0.0.1", 7001};
  node.http = Endpoint{"127.0.0.1", 8001};
  const std::string list = "{\"machines\":[" + FormatMachine(node, false) + "," +
                           FormatMachine(node, true) + ",{\"state\":\"live\"}]}";
  const std::vector<NodeDescriptor> machines = ParseMachineList(list);
  BOOST_REQUIRE(machines.size() == 1U);
  BOOST_TEST((machines.front() == node));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::store
