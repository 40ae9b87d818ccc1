// What the project's stand-ins need of src/standin/processes/ports.h, without its HTTP library.
#include "standin/processes/ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <set>
#include <stdexcept>
#include <thread>

#include <absl/time/clock.h>

namespace ladderstream::standin {

uint16_t FreePort() {
  static std::set<uint16_t> given;
  static std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 10000; ++tries) {
    const auto port = static_cast<uint16_t>(15000 + random() % 15000);
    if (given.contains(port)) {
      continue;
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free =
        bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    close(descriptor);
    if (free) {
      given.insert(port);
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

Endpoint FreeEndpoint() { return {"127.0.0.1", FreePort()}; }

bool WaitUntil(const std::function<bool()>& condition, absl::Duration timeout,
               absl::Duration interval) {
  const absl::Time end = absl::Now() + timeout;
  while (!condition()) {
    if (absl::Now() >= end) {
      return false;
    }
    absl::SleepFor(interval);
  }
  return true;
}

}  // namespace ladderstream::standin
