// The identity by which a request is known again at any node.
#pragma once

#include <string>
#include <string_view>

#include "core/quarantine/request_identity.h"
#include "gateway/http/request_reader.h"

namespace ladderstream::gateway {

/// A longer body counts by so many bytes at either end, and by its length.
constexpr size_t kHashedBodyBytes = size_t{1} << 20U;

/// BLAKE2b with 128 bits. It needs no secret: to make a request collide with a given one takes
/// 2^128 tries. Spellings that mean the same give the same identity, and fields that differ
/// between two attempts of one request do not count, among them the request's id, `request_id`.
quarantine::RequestIdentity IdentityOf(const CallerRequest& request, std::string_view request_id);

/// In lower case, without a final dot.
std::string NormalizeHost(std::string_view host);
/// Without a fragment, with escapes only where they are needed, and with the parameters of the
/// query in order.
std::string NormalizeTarget(std::string_view target);

}  // namespace ladderstream::gateway
