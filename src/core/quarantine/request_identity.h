// What a request is known by at any node, whoever repeats it.
#pragma once

#include "core/quarantine/fingerprint.h"

namespace ladderstream::quarantine {

/// Two fingerprints of one request, counted apart. Neither depends on the caller: back ends are
/// not told who asks, and several callers may repeat the same request.
struct RequestIdentity {
  RequestIdentity() = default;
  /// Of a request of which only the content is known.
  RequestIdentity(const Fingerprint& fingerprint)  // NOLINT(google-explicit-constructor)
      : content(fingerprint), variant(fingerprint) {}
  RequestIdentity(const Fingerprint& what, const Fingerprint& with_headers)
      : content(what), variant(with_headers) {}

  /// Of what is asked: method, host, target, key and body.
  Fingerprint content;
  /// Of the same and of the header fields that back ends are sent. One of these may be what ends
  /// back ends, while others ask for the same content and are served.
  Fingerprint variant;

  bool HasVariant() const { return variant != content; }
  bool operator==(const RequestIdentity&) const = default;
};

}  // namespace ladderstream::quarantine
