#include "operators.h"

#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <utility>

#include "platform/adapter.h"
#include "standin/processes/ports.h"

namespace ladderstream::fleet {
namespace {

constexpr char kServerProgram[] = LADDERSTREAM_BINARY_DIR "/ladderstream_operatord";
constexpr char kCommandProgram[] = LADDERSTREAM_BINARY_DIR "/ladderctl";

}  // namespace

Operators::Operators(Rig* rig) : rig_(rig) {
  for (size_t server = 0; server < kOperatorEntrances; ++server) {
    servers_.push_back(standin::FreeEndpoint());
    const Endpoint store = rig->fleet().store().endpoint(kNodes + server);
    rig->nodes().group().Start(
        {.name = absl::StrCat("operatord-", server),
         .program = kServerProgram,
         .arguments = {absl::StrCat("--store=", FormatEndpoint(store)),
                       absl::StrCat("--listen=", FormatEndpoint(servers_.back()))}});
  }
  for (size_t server = 0; server < servers_.size(); ++server) {
    while (Run(server, {"status"}).exit_code != 0) {
      BOOST_REQUIRE(rig->nodes().group().IsRunning(absl::StrCat("operatord-", server)));
    }
  }
}

void Operators::Start(const std::string& name, size_t server, std::vector<std::string> words) {
  words.push_back(absl::StrCat("--servers=", FormatEndpoint(servers_.at(server))));
  words.emplace_back("--output=json");
  rig_->nodes().group().Start(
      {.name = name, .program = kCommandProgram, .arguments = std::move(words)});
}

CommandResult Operators::Wait(const std::string& name) {
  standin::ProcessGroup& group = rig_->nodes().group();
  rig_->Await(name, [&] {
    NoteNewest();
    return !group.IsRunning(name);
  });
  const auto exit = group.WaitForExit(name, absl::ZeroDuration());
  CommandResult result;
  result.exit_code = exit.value().code.value_or(-1);
  const std::string output = group.ReadLog(name);
  BOOST_TEST_MESSAGE(name << ": " << result.exit_code << " " << output);
  result.output = nlohmann::json::parse(output, nullptr, /*allow_exceptions=*/false);
  return result;
}

CommandResult Operators::Run(size_t server, const std::vector<std::string>& words) {
  const std::string name = absl::StrCat("ladderctl-", ++commands_);
  Start(name, server, words);
  return Wait(name);
}

uint64_t Operators::Revision() { return Run(0, {"status"}).revision(); }

void Operators::SetStoreFaults(const StoreFaults& faults) {
  for (size_t server = 0; server < servers_.size(); ++server) {
    rig_->fleet().store().SetFaultsAt(kNodes + server, faults);
  }
}

void Operators::NoteNewest() {
  const interfaces::PlatformAdapterPtr adapter = platform::MakeAdapter();
  const store::Row* const row =
      rig_->fleet().store().rows().Find({.table = std::string(adapter->configuration_table()),
                                         .partition = "",
                                         .key = std::string(adapter->configuration_key())});
  const catalog::Configuration stored = adapter->DecodeConfiguration(row->value);
  if (stored.version != rig_->fleet().operators().newest().version) {
    rig_->fleet().operators().Note(stored);
  }
}

}  // namespace ladderstream::fleet
