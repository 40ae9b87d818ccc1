// The rows of the lease and of assignments: what is read is written and read back the same.
#include <string>

#include "core/ownership/assignments.h"
#include "core/ownership/ownership_rows.h"
#include "fuzz_support.h"
#include "wire/result_code.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace ladderstream;             // NOLINT(google-build-using-namespace)
  using namespace ladderstream::ownership;  // NOLINT(google-build-using-namespace)
  const std::string_view bytes = fuzz::ToText(data, size);
  try {
    const std::string written = EncodeLeaseRow(DecodeLeaseRow(bytes));
    fuzz::Require(EncodeLeaseRow(DecodeLeaseRow(written)) == written, "a lease row is read back");
  } catch (const Error& error) {
    fuzz::Require(error.code() == ResultCode::kMalformedMessage, "the code of the error");
  }
  try {
    const ServiceRow row = DecodeServiceRow(bytes);
    fuzz::Require(CoversAllKeys(row.assignments), "every key is assigned");
    const std::string written = EncodeServiceRow(row);
    const ServiceRow again = DecodeServiceRow(written);
    fuzz::Require(again.assignments == row.assignments, "assignments are read back");
    fuzz::Require(EncodeServiceRow(again) == written, "a service's row is read back");
  } catch (const Error& error) {
    fuzz::Require(error.code() == ResultCode::kMalformedMessage, "the code of the error");
  }
  try {
    const ServiceRow segment = DecodeSegment(bytes, 0);
    fuzz::Require(segment.assignments.front().range.first == 0,
                  "a segment begins where it is said");
    const ServiceRow again = DecodeSegment(EncodeSegment(segment), 0);
    fuzz::Require(again.assignments == segment.assignments, "a segment is read back");
  } catch (const Error& error) {
    fuzz::Require(error.code() == ResultCode::kMalformedMessage, "the code of the error");
  }
  try {
    const std::vector<Key> firsts = DecodeSegmentList(bytes);
    fuzz::Require(DecodeSegmentList(EncodeSegmentList(firsts)) == firsts, "a list is read back");
  } catch (const Error& error) {
    fuzz::Require(error.code() == ResultCode::kMalformedMessage, "the code of the error");
  }
  return 0;
}
