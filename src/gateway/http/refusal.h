// Answers that the node itself gives.
#pragma once

#include <string_view>

#include "gateway/http/caller_connection.h"
#include "wire/result_code.h"
#include "wire/time.h"

namespace ladderstream::gateway {

/// An answer with the numbered code in its body. A positive `retry_after` is told to the caller.
CallerAnswer MakeRefusal(int status, ResultCode code, std::string_view reason,
                         Duration retry_after);

}  // namespace ladderstream::gateway
