#include "core/replication/log.h"

#include <algorithm>

#include "wire/codec.h"

namespace ladderstream::replication {
namespace {

constexpr size_t kMaxEntriesPerMessage = 512;
constexpr size_t kMaxBytesPerMessage = 1 << 20;

}  // namespace

Log::Log(uint64_t base_index, uint64_t base_term, const GroupMembers& members)
    : base_index_(base_index), base_term_(base_term), members_({{base_index, members}}) {}

uint64_t Log::last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }

std::optional<uint64_t> Log::TermAt(uint64_t index) const {
  if (index == base_index_) {
    return base_term_;
  }
  if (index < base_index_ || index > last_index()) {
    return std::nullopt;
  }
  return At(index).term;
}

std::vector<LogEntry> Log::Slice(uint64_t index) const {
  std::vector<LogEntry> slice;
  size_t bytes = 0;
  for (; index <= last_index() && slice.size() < kMaxEntriesPerMessage; ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.payload.size();
    if (!slice.empty() && bytes > kMaxBytesPerMessage) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

void Log::Append(LogEntry entry) {
  if (entry.kind == EntryKind::kMembers) {
    members_.push_back({entry.index, Decode<GroupMembers>(entry.payload)});
  }
  entries_.push_back(std::move(entry));
}

void Log::TruncateFrom(uint64_t index) {
  while (last_index() >= index) {
    entries_.pop_back();
  }
  while (members_.size() > 1 && members_.back().index >= index) {
    members_.pop_back();
  }
}

void Log::CompactTo(uint64_t index) {
  const GroupMembers members = MembersAt(index);
  while (base_index_ < index && !entries_.empty()) {
    base_term_ = entries_.front().term;
    ++base_index_;
    entries_.pop_front();
  }
  std::erase_if(members_, [&](const MembersEntry& entry) { return entry.index <= base_index_; });
  members_.insert(members_.begin(), {base_index_, members});
}

void Log::Reset(uint64_t base_index, uint64_t base_term, const GroupMembers& members) {
  base_index_ = base_index;
  base_term_ = base_term;
  entries_.clear();
  members_ = {{base_index, members}};
}

const GroupMembers& Log::MembersAt(uint64_t index) const {
  const auto after = std::find_if(members_.begin() + 1, members_.end(),
                                  [&](const MembersEntry& entry) { return entry.index > index; });
  return std::prev(after)->members;
}

}  // namespace ladderstream::replication
