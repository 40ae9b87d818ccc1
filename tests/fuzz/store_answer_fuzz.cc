// Answers of the metadata store: never an exception, and never a claim without what backs it.
#include <array>
#include <string>

#include "fuzz_support.h"
#include "platform/adapter.h"

namespace ladderstream::fuzz {
namespace {

using interfaces::StoreCall;
using store::StoreStatus;

constexpr std::array<StoreCall, 3> kCalls = {StoreCall::kTransaction, StoreCall::kRead,
                                             StoreCall::kWatch};
constexpr std::array<int, 8> kStatuses = {200, 412, 200, 410, 429, 503, 500, 400};

void CheckReply(StoreCall call, int status, const store::StoreReply& reply) {
  if (reply.status == StoreStatus::kDone) {
    Require(status == 200, "done is only told with status 200");
  }
  if (reply.status == StoreStatus::kConflict) {
    Require(call == StoreCall::kTransaction && status == 412, "only a transaction conflicts");
  }
  if (reply.status == StoreStatus::kUnknown) {
    Require(!reply.detail.empty() && reply.rows.empty(), "what is unknown says why, and no rows");
  }
  for (const store::Row& row : reply.rows) {
    Require(row.removed == (row.version == 0) || row.removed, "a row of no version is gone");
  }
}

}  // namespace
}  // namespace ladderstream::fuzz

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace ladderstream::fuzz;  // NOLINT(google-build-using-namespace)
  static const ladderstream::interfaces::PlatformAdapterPtr adapter =
      ladderstream::platform::MakeAdapter();
  std::string_view bytes = ToText(data, size);
  const uint8_t choice = TakeByte(&bytes);
  const auto call = kCalls.at(choice % kCalls.size());
  ladderstream::interfaces::HttpResponse response;
  response.status = kStatuses.at(choice / kCalls.size() % kStatuses.size());
  response.body = std::string(bytes);
  CheckReply(call, response.status, adapter->DecodeStoreReply(call, response));
  return 0;
}
