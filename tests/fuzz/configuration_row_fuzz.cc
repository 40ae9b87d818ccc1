// Rows that operators and back ends write: a sound configuration or registration, or an error.
#include <string>

#include "fuzz_support.h"
#include "platform/adapter.h"
#include "wire/result_code.h"

namespace ladderstream::fuzz {
namespace {

void CheckConfiguration(const catalog::Configuration& configuration) {
  Require(configuration.version > 0, "a configuration has a version");
  for (const catalog::Route& route : configuration.routes) {
    Require(!route.host.empty() && !route.targets.empty(), "a route has a host and targets");
    Require(route.path_prefix.front() == '/' && route.path_prefix.back() == '/',
            "a prefix stands between slashes");
    Require(route.max_attempts >= 1, "a route has an attempt");
    double weights = 0;
    for (const catalog::RouteTarget& target : route.targets) {
      Require(configuration.services.contains(target.service), "a target is a known service");
      Require(target.weight >= 0, "no weight is negative");
      weights += target.weight;
    }
    Require(weights > 0, "some target has weight");
  }
}

}  // namespace
}  // namespace ladderstream::fuzz

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace ladderstream;  // NOLINT(google-build-using-namespace)
  static const interfaces::PlatformAdapterPtr adapter = platform::MakeAdapter();
  const std::string_view bytes = fuzz::ToText(data, size);
  try {
    fuzz::CheckConfiguration(adapter->DecodeConfiguration(bytes));
  } catch (const Error& error) {
    fuzz::Require(error.code() == ResultCode::kInvalidConfiguration, "the code of the error");
  }
  try {
    interfaces::ReadingNotes notes;
    const catalog::Backend backend = adapter->DecodeBackend("b-1", bytes, &notes);
    fuzz::Require(!backend.service.empty() && backend.address.port != 0, "a back end has a place");
  } catch (const Error& error) {
    fuzz::Require(error.code() == ResultCode::kMalformedMessage, "the code of the error");
  }
  return 0;
}
