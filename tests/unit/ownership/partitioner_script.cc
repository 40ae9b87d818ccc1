#include "scripted_partitioner.h"

namespace ladderstream::partition {

PartitionerScript& Script() {
  static PartitionerScript script;
  return script;
}

}  // namespace ladderstream::partition
