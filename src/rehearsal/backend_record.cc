#include "rehearsal/backend_record.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>

#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

constexpr char kRecordExtension[] = ".record";

GrantToken TokenFrom(const nlohmann::json& text) {
  const auto token = text.get<std::string>();
  return token.empty() ? GrantToken{} : ParseToken(token);
}

// Follows the events of one back end, whose incarnations come one after the other.
class RecordReader {
 public:
  explicit RecordReader(BackendRecord& record) : record_(record) {}

  void Read(const nlohmann::json& event) {
    backend_ = BackendId(event.at("backend").get<std::string>());
    time_ = absl::FromUnixMicros(event.at("time_us").get<int64_t>());
    FollowIncarnation(event.at("incarnation").get<std::string>());
    const auto kind = event.at("kind").get<std::string>();
    if (kind == "started") {
      Start(event);
    } else if (kind == "finished") {
      Finish(event);
    } else if (kind == "grants") {
      HoldGrants(event);
    } else if (kind == "lease") {
      HoldLease(event);
    }
  }

  void End() { CloseTenures(lease_until_); }

 private:
  void FollowIncarnation(const std::string& incarnation) {
    if (incarnation == incarnation_) {
      return;
    }
    // The earlier incarnation held its shards no longer than its lease, and no longer than it ran.
    CloseTenures(std::min(lease_until_, time_));
    incarnation_ = incarnation;
    running_.clear();
    lease_until_ = absl::InfinitePast();
  }

  void Start(const nlohmann::json& event) {
    Execution execution;
    execution.backend = backend_;
    execution.incarnation = incarnation_;
    execution.attempt_id = event.at("caller_id").get<std::string>();
    execution.service = event.at("service").get<std::string>();
    execution.key = event.at("key").get<std::string>();
    execution.request = event.at("request").get<std::string>();
    execution.token = TokenFrom(event.at("token"));
    execution.started = time_;
    running_[event.at("request_id").get<std::string>()] = record_.executions.size();
    record_.executions.push_back(std::move(execution));
  }

  void Finish(const nlohmann::json& event) {
    const auto found = running_.find(event.at("request_id").get<std::string>());
    if (found == running_.end()) {
      throw Error(ResultCode::kMalformedMessage, "a request finished that never started");
    }
    record_.executions[found->second].finished = time_;
    running_.erase(found);
  }

  void HoldGrants(const nlohmann::json& event) {
    std::map<ShardId, GrantToken> grants;
    for (const nlohmann::json& grant : event.at("grants")) {
      const ShardId shard{ServiceName(grant.at("service").get<std::string>()),
                          RangeIndex(grant.at("range").get<uint32_t>()),
                          grant.at("key").get<std::string>()};
      grants[shard] = TokenFrom(grant.at("token"));
    }
    CloseTenuresExcept(grants);
    for (const auto& [shard, token] : grants) {
      if (!open_.contains(shard)) {
        open_[shard] = Tenure{.shard = shard,
                              .backend = backend_,
                              .incarnation = incarnation_,
                              .token = token,
                              .from = time_,
                              .until = time_};
      }
    }
  }

  // Closes the tenures whose shard is no longer granted under the same token.
  void CloseTenuresExcept(const std::map<ShardId, GrantToken>& grants) {
    for (auto tenure = open_.begin(); tenure != open_.end();) {
      const auto granted = grants.find(tenure->first);
      if (granted != grants.end() && granted->second == tenure->second.token) {
        ++tenure;
        continue;
      }
      Close(tenure->second, std::min(lease_until_, time_));
      tenure = open_.erase(tenure);
    }
  }

  void HoldLease(const nlohmann::json& event) {
    const absl::Time until = absl::FromUnixMicros(event.at("until_us").get<int64_t>());
    if (lease_until_ < time_) {
      // The lease had lapsed: what was held before is one tenure, what is held now another.
      const std::map<ShardId, Tenure> held = open_;
      CloseTenures(lease_until_);
      open_ = held;
      for (auto& [shard, tenure] : open_) {
        tenure.from = time_;
      }
    }
    lease_until_ = until;
  }

  void CloseTenures(absl::Time end) {
    for (auto& [shard, tenure] : open_) {
      Close(tenure, end);
    }
    open_.clear();
  }

  void Close(Tenure tenure, absl::Time end) {
    tenure.until = end;
    if (tenure.from < tenure.until) {
      record_.tenures.push_back(std::move(tenure));
    }
  }

  BackendRecord& record_;
  BackendId backend_;
  std::string incarnation_;
  absl::Time time_;
  absl::Time lease_until_ = absl::InfinitePast();
  std::map<std::string, size_t> running_;
  std::map<ShardId, Tenure> open_;
};

}  // namespace

void ReadBackendRecord(std::istream& input, BackendRecord& record) {
  RecordReader reader(record);
  std::string line;
  while (std::getline(input, line)) {
    const bool whole = !input.eof();
    const nlohmann::json event = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
    if (event.is_discarded() && !whole) {
      break;
    }
    try {
      reader.Read(event);
    } catch (const nlohmann::json::exception& error) {
      throw Error(ResultCode::kMalformedMessage,
                  absl::StrCat("record line \"", line, "\": ", error.what()));
    }
  }
  reader.End();
}

BackendRecord ReadBackendRecords(const std::filesystem::path& directory) {
  BackendRecord record;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    if (entry.path().extension() == kRecordExtension) {
      std::ifstream input(entry.path());
      ReadBackendRecord(input, record);
    }
  }
  return record;
}

}  // namespace ladderstream::rehearsal
