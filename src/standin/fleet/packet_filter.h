// Drops what arrives at a socket from some source addresses, as a network that is cut does.
#pragma once

#include <set>
#include <string>

namespace ladderstream::fleet {

/// Lets the kernel drop all packets for `descriptor` that come from one of `sources` (IPv4
/// addresses); an empty set ends that. On a listening socket this drops attempts to connect, and
/// connections accepted from then on inherit the filter. Throws Error(kInternal) when the kernel
/// refuses.
void DropPacketsFrom(int descriptor, const std::set<std::string>& sources);
/// The same for all packets, from anywhere.
void DropAllPackets(int descriptor);

}  // namespace ladderstream::fleet
