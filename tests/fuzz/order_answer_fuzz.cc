// What back ends say in headers: answers to grants and releases, and their told load.
#include <string>

#include "fuzz_support.h"
#include "gateway/http/header_rules.h"
#include "platform/adapter.h"
#include "platform/names.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace ladderstream;  // NOLINT(google-build-using-namespace)
  static const interfaces::PlatformAdapterPtr adapter = platform::MakeAdapter();
  std::string_view bytes = fuzz::ToText(data, size);
  interfaces::HttpResponse response;
  response.status = 100 + fuzz::TakeByte(&bytes) * 2;
  const std::string value(bytes);
  response.headers = {{platform::names::kHandoverHeader, value}};
  const ownership::OrderReply reply = adapter->DecodeOrderReply(response);
  fuzz::Require((reply.status == ownership::OrderStatus::kDone) == (response.status == 200),
                "only status 200 is done");
  fuzz::Require(reply.status == ownership::OrderStatus::kDone || reply.handover.empty(),
                "only what is done hands over");

  interfaces::ToldLoad load;
  if (adapter->ParseToldLoad(value, &load) != interfaces::Understood::kNot) {
    const std::string told = std::to_string(load.running) + "," + std::to_string(load.waiting) +
                             "," + std::to_string(load.slots);
    interfaces::ToldLoad again;
    fuzz::Require(adapter->ParseToldLoad(told, &again) == interfaces::Understood::kWhole &&
                      again.slots == load.slots && again.running == load.running &&
                      again.waiting == load.waiting,
                  "a told load is read back");
    // Whatever follows, the three figures are heard.
    const std::string longer = told + "," + value;
    fuzz::Require(adapter->ParseToldLoad(longer, &again) != interfaces::Understood::kNot &&
                      again.slots == load.slots && again.running == load.running &&
                      again.waiting == load.waiting,
                  "further figures lose nothing");
  }
  const std::optional<ownership::Key> key = gateway::ParseKey(value);
  fuzz::Require(!key.has_value() || *key <= ownership::kLastKey, "a key is in the key space");
  gateway::ParseTimeLeft(value);
  gateway::ParseKeepAliveTimeout(value);
  gateway::FindRoutingTarget(value, value);
  return 0;
}
