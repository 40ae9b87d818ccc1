#include "kernel_connections.h"

#include <arpa/inet.h>

#include <cinttypes>
#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace ladderstream::fleet {
namespace {

constexpr char kConnectionList[] = "/proc/net/tcp";

/// `address` in network byte order, as the kernel lists it.
std::string HostOf(uint32_t address) {
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return text;
}

}  // namespace

uint64_t CountUnacknowledgedBytes(const std::string& source, const std::set<Endpoint>& receivers) {
  std::ifstream list(kConnectionList);
  std::string line;
  if (!std::getline(list, line)) {
    throw std::runtime_error(std::string("cannot read ") + kConnectionList);
  }
  uint64_t bytes = 0;
  while (std::getline(list, line)) {
    uint32_t local = 0;
    uint32_t remote = 0;
    uint32_t local_port = 0;
    uint32_t remote_port = 0;
    uint32_t state = 0;
    uint32_t unacknowledged = 0;
    // The columns: number, local address, remote address, state, bytes to send.
    const int fields = std::sscanf(
        line.c_str(), "%*d: %" SCNx32 ":%" SCNx32 " %" SCNx32 ":%" SCNx32 " %" SCNx32 " %" SCNx32,
        &local, &local_port, &remote, &remote_port, &state, &unacknowledged);
    constexpr int kFields = 6;
    const Endpoint receiver{HostOf(remote), static_cast<uint16_t>(remote_port)};
    if (fields == kFields && HostOf(local) == source && receivers.contains(receiver)) {
      bytes += unacknowledged;
    }
  }
  return bytes;
}

}  // namespace ladderstream::fleet
