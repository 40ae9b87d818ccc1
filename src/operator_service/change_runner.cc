#include "operator_service/change_runner.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <utility>
#include <variant>

#include "wire/boot_clock.h"

namespace ladderstream::operator_service {
namespace {

using changes::ChangeSubmission;
using changes::ReadRow;
using changes::SubmissionAction;
using changes::SubmissionOutcome;
using changes::WriteRows;

class PlatformFormat final : public changes::ConfigurationFormat {
 public:
  PlatformFormat(interfaces::PlatformAdapterPtr adapter, size_t max_value_bytes)
      : adapter_(std::move(adapter)), max_value_bytes_(max_value_bytes) {}

  store::RowKey row() const override {
    return {.table = std::string(adapter_->configuration_table()),
            .partition = "",
            .key = std::string(adapter_->configuration_key())};
  }
  size_t max_value_bytes() const override { return max_value_bytes_; }
  catalog::Configuration Decode(std::string_view value) const override {
    return adapter_->DecodeConfiguration(value);
  }
  std::string Encode(const catalog::Configuration& configuration,
                     std::string_view previous) const override {
    return adapter_->EncodeConfiguration(configuration, previous);
  }

 private:
  const interfaces::PlatformAdapterPtr adapter_;
  const size_t max_value_bytes_;
};

}  // namespace

changes::ConfigurationFormatPtr MakeFormat(interfaces::PlatformAdapterPtr adapter,
                                           size_t max_value_bytes) {
  return std::make_shared<const PlatformFormat>(std::move(adapter), max_value_bytes);
}

SubmissionOutcome RunChange(const changes::SubmissionRequest& request,
                            const changes::ConfigurationFormatPtr& format,
                            const changes::SubmissionTiming& timing, BlockingStore* store) {
  ChangeSubmission submission(request, format, timing, BootTimeNow());
  SubmissionAction action = submission.Start();
  while (!std::holds_alternative<SubmissionOutcome>(action)) {
    if (const auto* const read = std::get_if<ReadRow>(&action)) {
      absl::SleepFor(read->delay);
      const store::StoreReply reply = store->Read({.table = read->key.table,
                                                   .partition = read->key.partition,
                                                   .from_key = read->key.key,
                                                   .most_rows = 1});
      action = submission.OnRead(reply, BootTimeNow());
      continue;
    }
    const auto& write = std::get<WriteRows>(action);
    absl::SleepFor(write.delay);
    const store::StoreReply reply = store->Execute(write.transaction);
    action = submission.OnWrite(reply, BootTimeNow());
  }
  return std::get<SubmissionOutcome>(action);
}

}  // namespace ladderstream::operator_service
