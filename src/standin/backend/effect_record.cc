#include "standin/backend/effect_record.h"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "standin/support/http_server.h"
#include "wire/result_code.h"

namespace ladderstream::standin {
namespace {

constexpr mode_t kFileMode = 0644;

int OpenForAppend(const std::string& file) {
  const int descriptor = open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    throw Error(ResultCode::kInvalidSetting, absl::StrCat("cannot append to ", file));
  }
  return descriptor;
}

}  // namespace

EffectRecord::EffectRecord(const std::string& backend, uint64_t incarnation,
                           const std::string& file)
    : backend_(backend),
      incarnation_(std::to_string(incarnation)),
      file_(file.empty() ? -1 : OpenForAppend(file)) {}

EffectRecord::~EffectRecord() {
  if (file_ >= 0) {
    close(file_);
  }
}

uint64_t EffectRecord::Add(const std::string& kind, absl::Time at, const RequestIdentity& request) {
  return Append({{"kind", kind},
                 {"service", request.service},
                 {"key", request.key},
                 {"request", request.request},
                 {"request_id", request.request_id},
                 {"caller_id", request.caller_id},
                 {"token", request.token}},
                at);
}

void EffectRecord::AddGrants(absl::Time at, const GrantSet& grants) {
  nlohmann::json list = nlohmann::json::array();
  for (const Grant& grant : grants.grants) {
    list.push_back({{"service", grant.shard.service.value()},
                    {"range", grant.shard.range.value()},
                    {"key", grant.shard.key},
                    {"token", FormatToken(grant.token)}});
  }
  Append({{"kind", "grants"}, {"version", FormatToken(grants.version)}, {"grants", list}}, at);
}

void EffectRecord::AddLease(absl::Time at, const GrantToken& version, absl::Time lease_end) {
  Append({{"kind", "lease"},
          {"version", FormatToken(version)},
          {"until_us", absl::ToUnixMicros(lease_end)}},
         at);
}

uint64_t EffectRecord::Append(nlohmann::json event, absl::Time at) {
  absl::MutexLock lock(&mutex_);
  const uint64_t sequence = events_.size() + 1;
  event["sequence"] = sequence;
  event["time_us"] = absl::ToUnixMicros(at);
  event["backend"] = backend_;
  event["incarnation"] = incarnation_;
  if (file_ >= 0) {
    const std::string line = absl::StrCat(DumpJson(event), "\n");
    if (write(file_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
      throw Error(ResultCode::kInternal, "the record file took no whole line");
    }
  }
  events_.push_back(std::move(event));
  return sequence;
}

nlohmann::json EffectRecord::Read(size_t from) const {
  absl::MutexLock lock(&mutex_);
  const size_t first = std::min(from, events_.size());
  const std::vector<nlohmann::json> events(events_.begin() + static_cast<ptrdiff_t>(first),
                                           events_.end());
  return {{"backend", backend_}, {"incarnation", incarnation_}, {"events", events}};
}

}  // namespace ladderstream::standin
