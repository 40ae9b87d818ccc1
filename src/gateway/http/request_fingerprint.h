// The fingerprint by which a request is known again at any node.
#pragma once

#include "core/quarantine/fingerprint.h"
#include "gateway/http/request_reader.h"

namespace ladderstream::gateway {

/// Of a body, so many bytes count, and its length: a longer one is not hashed whole on a small
/// machine.
constexpr size_t kFingerprintedBodyBytes = 65536;

/// BLAKE2b with 128 bits over the method, host, target, key, body and the caller's address. It
/// needs no secret: to make a request collide with a given one takes 2^128 tries.
quarantine::Fingerprint FingerprintOf(const CallerRequest& request);

}  // namespace ladderstream::gateway
