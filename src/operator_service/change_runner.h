// Drives a change of the configuration against the store.
#pragma once

#include "core/changes/change_submission.h"
#include "operator_service/blocking_store.h"
#include "wire/time.h"

namespace ladderstream::operator_service {

/// How the configuration is kept on the platform of `adapter`, whose store takes values of at most
/// `max_value_bytes`.
changes::ConfigurationFormatPtr MakeFormat(interfaces::PlatformAdapterPtr adapter,
                                           size_t max_value_bytes);

/// Blocks until the outcome is known or the deadline of `timing` has passed. Thread-safe.
changes::SubmissionOutcome RunChange(const changes::SubmissionRequest& request,
                                     const changes::ConfigurationFormatPtr& format,
                                     const changes::SubmissionTiming& timing, BlockingStore* store);

}  // namespace ladderstream::operator_service
