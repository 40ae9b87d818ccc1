#include "core/changes/change_record.h"

#include <xxhash.h>

#include "wire/codec.h"

namespace ladderstream::changes {

std::string EncodeChangeRecord(const ChangeRecord& record) { return Encode(record); }

ChangeRecord DecodeChangeRecord(std::string_view value) {
  return Decode<ChangeRecord>(std::string(value));
}

uint64_t DigestOf(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

}  // namespace ladderstream::changes
