#include "core/ownership/service_rows.h"

#include <algorithm>
#include <iterator>

namespace ladderstream::ownership {
namespace {

/// Parts of a split row are filled to this share of the size limit, so that they are not split
/// again soon.
constexpr double kPartShare = 2.0 / 3;

/// Returns the part of `range` within `bounds`.
KeyRange Clip(const KeyRange& range, const KeyRange& bounds) {
  return {std::max(range.first, bounds.first), std::min(range.last, bounds.last)};
}

ServiceRow WithAddresses(Assignments assignments, const ServiceRows::AddressOf& address_of) {
  ServiceRow row;
  row.assignments = std::move(assignments);
  for (const Assignment& assignment : row.assignments) {
    if (!assignment.owner.empty() && !row.addresses.contains(assignment.owner)) {
      row.addresses[assignment.owner] = address_of(assignment.owner);
    }
  }
  return row;
}

}  // namespace

void ServiceRows::Adopt(const StoredService& stored) {
  firsts_ = stored.segment_firsts;
  has_segments_ = stored.has_segments;
}

void ServiceRows::OnWritten(const std::map<std::string, std::string>& rows) {
  const auto head = rows.find(ServiceRowKey(service_));
  if (head == rows.end()) {
    return;
  }
  has_segments_ = IsSegmentList(head->second);
  firsts_ = has_segments_ ? DecodeSegmentList(head->second) : std::vector<Key>{0};
}

size_t ServiceRows::IndexOf(Key key) const {
  const auto after = std::upper_bound(firsts_.begin(), firsts_.end(), key);
  return static_cast<size_t>(after - firsts_.begin()) - 1;
}

KeyRange ServiceRows::RangeOf(size_t index) const {
  return {firsts_[index], index + 1 < firsts_.size() ? firsts_[index + 1] - 1 : kLastKey};
}

Key ServiceRows::LastWithin(const KeyRange& range, size_t max_rows) const {
  const size_t last_index = IndexOf(range.first) + max_rows - 1;
  return last_index < firsts_.size() ? std::min(range.last, RangeOf(last_index).last) : range.last;
}

void ServiceRows::Encode(const Assignments& changes, const AssignmentTable& committed,
                         const AddressOf& address_of, size_t row_bytes,
                         std::map<std::string, std::string>* rows) const {
  std::map<size_t, AssignmentTable> touched;
  for (const Assignment& change : changes) {
    for (size_t index = IndexOf(change.range.first); index <= IndexOf(change.range.last); ++index) {
      const KeyRange range = RangeOf(index);
      auto table = touched.find(index);
      if (table == touched.end()) {
        table = touched.emplace(index, committed.Slice(range)).first;
      }
      table->second.Assign(Clip(change.range, range), change.owner, change.fence);
    }
  }
  std::vector<Key> new_firsts;
  for (const auto& [index, table] : touched) {
    const ServiceRow row = WithAddresses(table.Slice(RangeOf(index)), address_of);
    std::vector<ServiceRow> parts = SplitRow(row, row_bytes);
    if (parts.size() > 1) {
      parts = SplitRow(row, static_cast<size_t>(static_cast<double>(row_bytes) * kPartShare));
    }
    if (parts.size() == 1 && !has_segments_) {
      (*rows)[ServiceRowKey(service_)] = EncodeServiceRow(row);
      return;
    }
    EncodeParts(parts, rows, &new_firsts);
  }
  if (new_firsts.empty()) {
    return;
  }
  std::vector<Key> firsts;
  std::merge(firsts_.begin(), firsts_.end(), new_firsts.begin(), new_firsts.end(),
             std::back_inserter(firsts));
  (*rows)[ServiceRowKey(service_)] = EncodeSegmentList(firsts);
}

void ServiceRows::EncodeParts(const std::vector<ServiceRow>& parts,
                              std::map<std::string, std::string>* rows,
                              std::vector<Key>* new_firsts) const {
  for (const ServiceRow& part : parts) {
    const Key first = part.assignments.front().range.first;
    (*rows)[SegmentRowKey(service_, first)] = EncodeSegment(part);
    if (&part != &parts.front()) {
      new_firsts->push_back(first);
    }
  }
}

}  // namespace ladderstream::ownership
