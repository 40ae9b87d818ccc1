// What a back end's HTTP answer means, and whether it is whole.
#pragma once

#include <httplib.h>

#include <string>

#include "wire/peer_message.h"
#include "wire/time.h"

namespace ladderstream::upstream {

/// Turns a complete exchange into a response. An answer whose length is not declared, or differs
/// from what came, may have been cut off: kAnswerTruncated. An answer to another request than
/// `request`: kConnectionLost.
ForwardResponse InterpretAnswer(const httplib::Response& headers, std::string body,
                                const ForwardRequest& request);

}  // namespace ladderstream::upstream
