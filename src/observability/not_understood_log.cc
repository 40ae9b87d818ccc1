#include "observability/not_understood_log.h"

namespace ladderstream::observability {

void NotUnderstoodLog::Note(std::string_view kind, std::string_view source, std::string_view text) {
  metrics_->CountNotUnderstood(kind);
  auto found = told_.find(kind);
  if (found == told_.end()) {
    const std::string name(told_.size() < kMostKinds ? kind : "other");
    found = told_.try_emplace(name).first;
  }
  Told& told = found->second;
  ++told.count;
  const Time now = log_->Now();
  if (now - told.last < kInterval) {
    return;
  }
  log_->Write(EventName::kNotUnderstood,
              {EventField(FieldName::kKind, kind), EventField(FieldName::kBackend, source),
               EventField(FieldName::kDetail, text), EventField(FieldName::kCount, told.count)});
  told = {now, 0};
}

}  // namespace ladderstream::observability
